/** How long ago the known state was confirmed to be current. */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log

/** Records when the known state was last confirmed, by the store or by another instance that had it from there. */
public class StateFreshness internal constructor(private val clock: AgeClock, private val log: EventLog) {
    private var confirmedMillis: Long? = null
    private var storeBackMillis: Long? = null

    /** When the store was last seen, by any instance; the state that it had then may not be known here yet. */
    private var seenMillis: Long? = null

    /** Returns the time since the state was last confirmed, or null if it never was. */
    public fun ageMillisOrNull(): Long? = confirmedMillis?.let { clock.nowMillis() - it }

    /** Is true if the state was confirmed at most [limitMillis] ago. */
    public fun isWithin(limitMillis: Long): Boolean = ageMillisOrNull()?.let { it <= limitMillis } ?: false

    /** Is true if the store was seen again within the last [windowMillis], after an outage of the store. */
    public fun isStoreBackWithin(windowMillis: Long): Boolean =
        storeBackMillis?.let { clock.nowMillis() - it < windowMillis } ?: false

    /** Records that the state was current at [atMillis] on the age clock; returns whether that is news. */
    public fun confirmed(atMillis: Long): Boolean {
        val before = confirmedMillis
        if (before != null && atMillis <= before) return false
        storeSeen(atMillis)
        confirmedMillis = atMillis
        return true
    }

    /**
     * Records that this instance or another one had an answer of the store at [atMillis] on the age clock. An outage of
     * the store has ended if there was none for long before: then what is gone may have expired during it.
     */
    internal fun storeSeen(atMillis: Long) {
        val before = seenMillis
        if (before != null && atMillis <= before) return
        seenMillis = atMillis
        if (before == null || atMillis - before <= OUTAGE_MILLIS) return
        storeBackMillis = clock.nowMillis()
        log.log(Event.STATE_PROVED_AGAIN, field("gapMillis", atMillis - before))
    }
}

/** Gap between answers of the store above which it counts as having been out; above two watches without a change. */
private const val OUTAGE_MILLIS: Long = 2_500
