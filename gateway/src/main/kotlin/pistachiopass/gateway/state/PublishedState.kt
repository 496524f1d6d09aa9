/** The published items that this instance has, from the store or from other instances, and what they say. */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.StateDecoder
import pistachiopass.gateway.StateItem
import pistachiopass.published.PublishedChanges
import pistachiopass.published.PublishedItem
import pistachiopass.published.PublishedLog
import pistachiopass.published.Revision

/** What a confirmation of the state brought: the number of [changed] items, and whether the confirmation [isNews]. */
internal class Confirmation(val changed: Int, val isNews: Boolean)

/** Decodes what changes in the log and applies it to [knownState]. Confined to the event loop. */
public class PublishedState internal constructor(
    public val knownState: KnownState,
    private val events: EventLog = EventLog,
    private val decoder: StateDecoder,
) {
    internal val log: PublishedLog = PublishedLog(knownState.clock::nowMillis, StateItemOrder(::decodedOrNull))

    /** Position up to which all changes are applied, or null while nothing is known. */
    public val position: Revision? get() = log.position

    /** Number of items that are believed against what the store has. */
    internal val heldCount: Int get() = log.heldCount

    /**
     * Applies [changes] and returns how many items they changed; an item that cannot be decoded keeps no other from
     * being applied.
     */
    public fun apply(changes: PublishedChanges): Int {
        val before = position
        val changed = log.apply(changes)
        knownState.apply(changed.mapNotNull(::decodedOrNull))
        if (before != null && changes.position.era > before.era) logEra(before, changed.size)
        return changed.size
    }

    /**
     * Applies some changes of a state that was current at [atMillis] on the age clock, and returns how many changed
     * anything. They confirm nothing, since others before them may be missing.
     */
    internal fun applySome(items: List<PublishedItem>, atMillis: Long): Int {
        knownState.freshness.storeSeen(atMillis)
        if (items.isEmpty()) return 0
        val changed = log.applySome(items)
        knownState.apply(changed.mapNotNull(::decodedOrNull))
        return changed.size
    }

    /** Applies what another instance in the same era has [held] against the store. */
    internal fun believe(held: List<PublishedItem>): Unit =
        knownState.apply(log.believe(held).mapNotNull(::decodedOrNull))

    /** Lets go of what was believed against the store and was not published again in time. */
    internal fun expireHolds() {
        val published = log.expireHolds()
        if (published.isEmpty()) return
        events.log(Event.STORE_HOLDS_ENDED, field("items", published.size), field("held", log.heldCount))
        knownState.apply(published.mapNotNull(::decodedOrNull), isLapseOver = true)
    }

    /**
     * Applies [changes], if there are any, and then confirms the state as of [atMillis] on the age clock. The end of an
     * outage is noted first, since it decides how removals are taken. Changes of an earlier era confirm nothing.
     */
    internal fun applyAndConfirm(changes: PublishedChanges?, atMillis: Long): Confirmation {
        val era = position?.era
        if (changes != null && era != null && changes.position.era < era) return Confirmation(0, isNews = false)
        knownState.freshness.storeSeen(atMillis)
        val changed = changes?.let(::apply) ?: 0
        return Confirmation(changed, knownState.freshness.confirmed(atMillis))
    }

    private fun logEra(before: Revision, changed: Int): Unit = events.log(
        Event.STORE_ERA_CHANGED,
        tokenField("before", "$before"),
        tokenField("position", "$position"),
        field("changed", changed),
        field("held", log.heldCount),
        field("proofAgeMillis", knownState.freshness.ageMillisOrNull() ?: -1),
    )

    private fun decodedOrNull(item: PublishedItem): StateItem? =
        runCatching { decoder.decodeOrNull(item) }.onFailure { error ->
            events.log(Event.INTERNAL_ERROR, tokenField("item", item.key), field("error", error))
        }.getOrNull()
}
