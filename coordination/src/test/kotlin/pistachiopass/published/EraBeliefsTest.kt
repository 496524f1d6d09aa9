/** Tests what instances that knew different changes when an era ended make each other believe. */
package pistachiopass.published

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

private class BeliefCase(val name: String, val expected: String, val run: () -> String)

/** An instance with one log; values are numbers, of which a lower one is held against for a while. */
private class Believer(tombstonesMax: Int = 10) {
    var nowMillis = 0L
    val log = PublishedLog({ nowMillis }, HigherNumberOrder, tombstonesMax)
    val values = HashMap<String, String?>()

    fun all(era: Long, revision: Long, vararg items: String): Believer = apply(era, revision, isFull = true, items)

    fun changes(era: Long, revision: Long, vararg items: String): Believer =
        apply(era, revision, isFull = false, items)

    /** Takes what [source] tells after [base], as an instance takes an update and what it then fetches. */
    fun take(source: Believer, base: Revision? = log.position): List<PublishedItem> {
        val told = source.log.changesAfter(base)
        return when (actionOf(log.position, base.takeUnless { told.isFull }, told.position)) {
            FeedAction.APPLY -> use(log.apply(told))
            FeedAction.CONFIRM -> use(log.believe(told.items))
            FeedAction.FETCH -> take(source)
            FeedAction.IGNORE -> emptyList()
        }
    }

    fun after(millis: Long): Believer {
        nowMillis += millis
        use(log.expireHolds())
        return this
    }

    override fun toString(): String =
        values.toSortedMap().entries.joinToString(" ") { (key, value) -> "$key=${value ?: "none"}" }

    private fun apply(era: Long, revision: Long, isFull: Boolean, items: Array<out String>): Believer {
        use(log.apply(PublishedChanges(Revision(revision, era), isFull, items.map { numberedOf(it, era) })))
        return this
    }

    private fun use(items: List<PublishedItem>): List<PublishedItem> =
        items.onEach { values[it.key] = it.value?.decodeToString() }
}

private object HigherNumberOrder : ItemOrder {
    override fun isReplaced(known: PublishedItem, next: PublishedItem): Boolean = true

    override fun beliefMillis(known: PublishedItem, next: PublishedItem): Long =
        if (!known.isRemoved && numberOf(next) >= numberOf(known)) 0 else BELIEF_MILLIS

    private fun numberOf(item: PublishedItem): Int = item.value?.decodeToString()?.toInt() ?: -1
}

class EraBeliefsTest {
    private val cases = listOf(
        BeliefCase("an unchanged item of one that was behind and entered later ends no hold", "a=2") {
            val behind = Believer().all(0, 9, "a=1@3").all(1, 6, "a=1@3")
            Believer().all(0, 10, "a=2@10").all(1, 5, "a=1@3").also { it.take(behind) }.toString()
        },
        BeliefCase("a removed item that is held does not come back from one that was behind", "a=none") {
            val behind = Believer().all(0, 9, "a=1@3").all(1, 6, "a=1@3")
            val reader = Believer().all(0, 9, "a=1@3").changes(0, 10, "a=none@10").all(1, 5, "a=1@3")
            reader.also { it.take(behind) }.toString()
        },
        BeliefCase("an older belief of one that entered later does not replace a newer one", "a=3") {
            val behind = Believer().all(0, 9, "a=2@9").all(1, 6, "a=1@3")
            Believer().all(0, 10, "a=3@10").all(1, 5, "a=1@3").also { it.take(behind) }.toString()
        },
        BeliefCase("a removal that another holds is believed by a reader that was far behind", "a=none") {
            val source = Believer().all(0, 6, "a=2@4").changes(0, 9, "a=none@9").all(1, 7, "a=2@4")
            Believer().all(0, 5, "a=2@4").also { it.take(source) }.toString()
        },
        BeliefCase("a reader that entered from one that was behind learns what another holds", "a=2") {
            val first = Believer().all(0, 9, "a=1@3").all(1, 5, "a=1@3")
            val second = Believer().all(0, 9, "a=1@3").changes(0, 10, "a=2@10").all(1, 5, "a=1@3")
            val reader = Believer().all(0, 9, "a=1@3")
            val subscribed = reader.log.position
            listOf(first, second).forEach { reader.take(it, subscribed) }
            reader.also { it.take(second) }.toString()
        },
        BeliefCase("a reader that has entered earlier than its source is told no unchanged item as news", "") {
            val source = Believer().all(0, 9, "a=1@3", "b=1@4").all(1, 6, "a=1@3", "b=1@4")
            Believer().all(0, 9, "a=1@3", "b=1@4").all(1, 5, "a=1@3", "b=1@4").take(source).joinToString()
        },
        BeliefCase("a held removal that is forgotten leaves what the store has", "a=1 b=none held 0") {
            val log = Believer(tombstonesMax = 1).all(0, 9, "a=1@3", "b=1@4").changes(0, 10, "a=none@10")
            log.all(1, 5, "a=1@3", "b=1@4").changes(1, 6, "b=none@6").after(BELIEF_MILLIS)
            "$log held ${log.log.heldCount}"
        },
    )

    @TestFactory
    fun `instances that knew different changes make no other go back`(): List<DynamicTest> =
        cases.map { case -> DynamicTest.dynamicTest(case.name) { assertEquals(case.expected, case.run()) } }
}

private fun numberedOf(text: String, era: Long): PublishedItem {
    val (key, value, revision) = text.split('=', '@')
    return PublishedItem(key, Revision(revision.toLong(), era), value.takeUnless { it == "none" }?.encodeToByteArray())
}

private const val BELIEF_MILLIS = 5_000L
