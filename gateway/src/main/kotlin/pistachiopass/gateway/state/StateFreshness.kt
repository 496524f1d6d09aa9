/** How long ago the known state was confirmed to be current. */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log

/** Records when the known state was last confirmed by the store and by other instances. */
public class StateFreshness internal constructor(private val clock: AgeClock, private val log: EventLog) {
    private var storeMillis: Long? = null
    private var peerMillis: Long? = null
    private var storeBackMillis: Long? = null

    /**
     * Returns the time since the operator's documents, that is the configuration and the evacuations, were last
     * confirmed by the store or by another instance, or null if they never were.
     */
    public fun ageMillisOrNull(): Long? {
        val confirmedMillis = listOfNotNull(storeMillis, peerMillis).maxOrNull()
        return confirmedMillis?.let { clock.nowMillis() - it }
    }

    /** Returns the time since the store itself last confirmed the published state, or null if it never did. */
    public fun storeAgeMillisOrNull(): Long? = storeMillis?.let { clock.nowMillis() - it }

    /** Is true if the operator's documents were confirmed at most [limitMillis] ago. */
    public fun isWithin(limitMillis: Long): Boolean = ageMillisOrNull()?.let { it <= limitMillis } ?: false

    /** Is true if the store came back from an outage within the last [windowMillis]. */
    public fun isStoreBackWithin(windowMillis: Long): Boolean =
        storeBackMillis?.let { clock.nowMillis() - it < windowMillis } ?: false

    /** Records that another instance confirmed the operator's documents as of [atMillis] on the age clock. */
    public fun confirmedByPeer(atMillis: Long) {
        peerMillis = maxOf(peerMillis ?: atMillis, atMillis)
    }

    /** Records that the store confirmed the published state as of [atMillis] on the age clock. */
    public fun confirmedByStore(atMillis: Long) {
        val before = storeMillis
        if (before != null && atMillis <= before) return
        if (before != null && atMillis - before > OUTAGE_MILLIS) {
            storeBackMillis = clock.nowMillis()
            log.log(Event.STATE_PROVED_AGAIN, field("gapMillis", atMillis - before))
        }
        storeMillis = atMillis
    }
}

/** Gap between confirmations above which the store counts as having been out; above two watches without a change. */
private const val OUTAGE_MILLIS: Long = 2_500
