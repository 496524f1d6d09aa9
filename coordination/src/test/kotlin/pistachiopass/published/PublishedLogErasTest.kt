/**
 * Tests what a log believes, and tells others, when the store returns from an older copy.
 *
 * Values are numbers. In the order of these tests a lower number never replaces a higher one of "table", and other
 * items are held for a while against a lower number or none.
 */
package pistachiopass.published

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

private class EraCase(val name: String, val expected: String, val run: EraLog.() -> String)

private class EraLog {
    var nowMillis = 0L
    val log = PublishedLog({ nowMillis }, NumberOrder)

    /** Applies all items in [era], each given as `key=value@revision`. */
    fun all(era: Long, revision: Long, vararg items: String): String =
        apply(era, revision, isFull = true, items.asList())

    fun changes(era: Long, revision: Long, vararg items: String): String =
        apply(era, revision, isFull = false, items.asList())

    fun read(era: Long, revision: Long): String {
        val changes = log.changesAfter(Revision(revision, era))
        return (if (changes.isFull) "in full: " else "") + changes.items.joinToString(" ", transform = ::textOf)
    }

    fun after(millis: Long): String {
        nowMillis += millis
        return log.expireHolds().joinToString(" ", transform = ::textOf)
    }

    private fun apply(era: Long, revision: Long, isFull: Boolean, items: List<String>): String {
        val changes = PublishedChanges(Revision(revision, era), isFull, items.map { itemOf(it, era) })
        return log.apply(changes).joinToString(" ", transform = ::textOf)
    }
}

private object NumberOrder : ItemOrder {
    override fun isReplaced(known: PublishedItem, next: PublishedItem): Boolean =
        known.key != "table" || numberOf(next) >= numberOf(known)

    override fun beliefMillis(known: PublishedItem, next: PublishedItem): Long = when {
        !known.isRemoved && numberOf(next) >= numberOf(known) -> 0
        known.key == "table" -> Hold.UNTIL_REPLACED
        else -> HOLD_MILLIS
    }

    private fun numberOf(item: PublishedItem): Int = item.value?.decodeToString()?.toInt() ?: -1
}

class PublishedLogErasTest {
    private val cases = listOf(
        EraCase("an item that is the same is no news, and keeps its position", "| b=1@0:10") {
            all(0, 9, "a=1@3")
            changes(0, 10, "b=1@10")
            all(1, 5, "a=1@3", "b=1@4") + "| " + read(0, 9)
        },
        EraCase("an item that the copy holds in an older version is held until it is written again", "| a=3@1:8") {
            all(0, 9, "a=2@9")
            all(1, 5, "a=1@3")
            "| " + changes(1, 8, "a=3@8")
        },
        EraCase("an item that nobody writes again becomes what the store has", "| a=1@1:5") {
            all(0, 9, "a=2@9")
            all(1, 5, "a=1@3") + after(HOLD_MILLIS - 1) + "| " + after(1)
        },
        EraCase("an item that the copy does not hold is removed after a while", "| a=none@1:5") {
            all(0, 9, "a=2@9")
            all(1, 5) + after(HOLD_MILLIS - 1) + "| " + after(1)
        },
        EraCase("an item that was removed stays so for a while", "a=none@0:10 | a=2@1:5") {
            all(0, 9, "a=2@9")
            val removed = changes(0, 10, "a=none@10")
            removed + all(1, 5, "a=2@3") + " | " + after(HOLD_MILLIS)
        },
        EraCase("a table never goes back, nor does one that is written again", "| table=8@1:9") {
            all(0, 9, "table=7@9")
            all(1, 5, "table=5@3") + after(HOLD_MILLIS) + changes(1, 8, "table=6@8") + "| " + changes(1, 9, "table=8@9")
        },
        EraCase("a reader without what is believed gets it", "in full: table=7@1:8 held against 6") {
            all(0, 9, "table=7@9")
            all(1, 5, "table=5@3")
            changes(1, 8, "table=6@8")
            read(1, 2)
        },
        EraCase("a reader at a position of the last era gets what differs", "b=2@1:4 a=2@1:5 held against 1") {
            all(0, 9, "a=2@8", "b=1@7")
            all(1, 5, "a=1@3", "b=2@4")
            read(0, 9)
        },
        EraCase("a reader that was ahead in the last era gets all", "in full: a=1@1:5") {
            all(0, 9, "a=1@3")
            all(1, 5, "a=1@3")
            read(0, 10)
        },
        EraCase("a reader that was there before this log gets all", "in full: a=1@1:5") {
            all(0, 9, "a=1@3")
            all(1, 5, "a=1@3")
            read(0, 8)
        },
        EraCase("a reader that entered the era earlier gets all", "in full: a=1@1:5") {
            all(0, 9, "a=1@3")
            all(1, 5, "a=1@5")
            read(1, 4)
        },
        EraCase("what is of an earlier era is ignored", "| ") {
            all(0, 9, "a=1@3")
            all(1, 5, "a=1@3")
            all(0, 20, "a=7@15") + changes(0, 21, "b=1@21") + "| " + read(1, 5)
        },
        EraCase("two returns in a row keep what was known at first", "| a=2@2:4 held against 1") {
            all(0, 9, "a=2@9")
            all(1, 5, "a=1@3") + all(2, 4, "a=1@3") + "| " + read(1, 5)
        },
        EraCase("a change that has the revision of a lost one holds", "a=3@1:9") {
            all(0, 9, "a=2@9")
            all(1, 5, "a=1@3")
            changes(1, 9, "a=3@9")
        },
    )

    @TestFactory
    fun `nothing that is written again is ignored, and nothing goes back meanwhile`(): List<DynamicTest> =
        cases.map { case -> DynamicTest.dynamicTest(case.name) { assertEquals(case.expected, EraLog().run(case.run)) } }
}

private fun itemOf(text: String, era: Long): PublishedItem {
    val (key, value, revision) = text.split('=', '@')
    return PublishedItem(key, Revision(revision.toLong(), era), value.takeUnless { it == "none" }?.encodeToByteArray())
}

private fun textOf(item: PublishedItem): String {
    val hold = item.hold?.let { " held against " + (it.published?.decodeToString() ?: "none") }.orEmpty()
    val position = "${item.revision.era}:${item.revision.value}"
    return "${item.key}=${item.value?.decodeToString() ?: "none"}@$position$hold"
}

private const val HOLD_MILLIS = 5_000L
