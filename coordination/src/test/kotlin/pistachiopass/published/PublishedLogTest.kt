/** Tests that published items never go back, and what a reader learns that asks for the changes after a position. */
package pistachiopass.published

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

private class LogCase(val name: String, val expected: String, val run: PublishedLog.() -> String)

class PublishedLogTest {
    private val cases = listOf(
        LogCase("a change is applied", "a@3") { changes(3, item("a", 3)) },
        LogCase("a change that is known is not applied again", "") {
            changes(3, item("a", 3))
            changes(3, item("a", 3))
        },
        LogCase("an older change is ignored", "") {
            changes(5, item("a", 5, isRemoved = true))
            changes(4, item("a", 4))
        },
        LogCase("a full state removes what it does not list", "a@9 removed") {
            changes(3, item("a", 2), item("b", 3))
            all(9, item("b", 3))
        },
        LogCase("a full state does not remove what is newer", "") {
            changes(12, item("a", 2), item("b", 12))
            all(9, item("a", 2))
        },
        LogCase("an item that was missing from a full state may come back", "a@10") {
            changes(3, item("a", 3))
            all(9)
            changes(10, item("a", 10))
        },
        LogCase("an old full state does not bring a removed item back", "") {
            changes(5, item("a", 3))
            changes(6, item("a", 6, isRemoved = true))
            all(4, item("a", 3))
        },
        LogCase("an old full state does not bring back what was removed before it was known", "") {
            all(6, item("b", 6))
            all(4, item("a", 3))
        },
        LogCase("a reader at the position gets nothing", "9: ") {
            changes(9, item("a", 3))
            read(9)
        },
        LogCase("a reader ahead gets nothing", "9: ") {
            changes(9, item("a", 3))
            read(11)
        },
        LogCase("a reader behind gets the later changes and removals", "9: b@8 a@9 removed") {
            changes(8, item("a", 3), item("b", 8))
            changes(9, item("a", 9, isRemoved = true))
            read(3)
        },
        LogCase("a reader without state gets all existing items", "9 in full: b@8") {
            changes(9, item("a", 3, isRemoved = true), item("b", 8))
            read(null)
        },
        LogCase("a reader from before the known history gets all existing items", "9 in full: b@8") {
            all(9, item("b", 8))
            read(2)
        },
        LogCase("a reader from before the dropped tombstones gets all existing items", "40 in full: b@2") {
            all(2, item("b", 2))
            (3L..40L).forEach { changes(it, item("gone-$it", it, isRemoved = true)) }
            read(10)
        },
        LogCase("a reader after the dropped tombstones gets the others", "40: gone-39@39 removed gone-40@40 removed") {
            all(2, item("b", 2))
            (3L..40L).forEach { changes(it, item("gone-$it", it, isRemoved = true)) }
            read(38)
        },
    )

    @TestFactory
    fun `changes are applied and read again`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val log = PublishedLog({ 0 }, tombstonesMax = 10)
            if (!case.name.contains("history") && !case.name.contains("dropped")) log.all(1)
            assertEquals(case.expected, log.run(case.run))
        }
    }
}

private fun item(key: String, revision: Long, isRemoved: Boolean = false) =
    PublishedItem(key, Revision(revision), if (isRemoved) null else ByteArray(1))

private fun PublishedLog.changes(position: Long, vararg items: PublishedItem): String =
    apply(PublishedChanges(Revision(position), isFull = false, items.asList())).joinToString(" ")

private fun PublishedLog.all(position: Long, vararg items: PublishedItem): String =
    apply(PublishedChanges(Revision(position), isFull = true, items.asList())).joinToString(" ")

private fun PublishedLog.read(after: Long?): String {
    val changes = changesAfter(after?.let(::Revision))
    return "${changes.position}${if (changes.isFull) " in full" else ""}: ${changes.items.joinToString(" ")}"
}
