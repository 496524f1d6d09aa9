/**
 * The subscriptions of one instance at the sources of its published state.
 *
 * A subscription counts from the time at which it was sent. The source's clock only tells how long after the arrival of
 * the subscription an update was made, and the source's monotonic clock does not advance while it is paused. So the
 * update was made no earlier than that long after the sending, and the state was current that much less its age after
 * the sending, however late the update is read.
 */
package pistachiopass.published

import kotlin.random.Random

/** Makes subscriptions, and interprets the updates that answer them. Confined to one thread. */
public class FeedSubscriptions<S : Any>(
    /** A clock that advances also while the process or the machine is paused. */
    private val nowMillis: () -> Long,
    private val renewalMillis: Long = RENEWAL_MILLIS,
    random: Random = Random.Default,
) {
    private class Subscription(val source: Any, val sentMillis: Long)

    private class Source(var subscribedMillis: Long, val sinceMillis: Long, var answeredMillis: Long?) {
        var era: Long? = null
    }

    private val subscriptions = LinkedHashMap<Long, Subscription>()
    private val sources = HashMap<S, Source>()

    /** Sources may still answer the subscriptions of a process that ran at this host before. */
    private var lastNonce = random.nextLong(NONCES)

    /** Subscribes to [wanted], in place of other sources, and returns the subscriptions to send now. */
    public fun subscribe(wanted: Collection<S>, position: Revision?): List<Pair<S, FeedSubscription>> {
        sources.keys.retainAll(wanted.toSet())
        return wanted.filter { isDue(it, position?.era) }.map { it to subscriptionOf(it, position) }
    }

    /** Is true if [source] was asked some time ago and has not sent an update since or lately. */
    public fun isSilent(source: S): Boolean {
        val state = sources[source] ?: return false
        return nowMillis() - (state.answeredMillis ?: state.sinceMillis) > SILENT_MILLIS
    }

    /** Returns when the state of [update] was current, on this instance's clock; null if it answers nothing known. */
    public fun confirmedMillisOrNull(source: S, update: FeedUpdate): Long? {
        val subscription = subscriptions[update.nonce]?.takeIf { it.source == source } ?: return null
        sources[source]?.answeredMillis = nowMillis()
        return subscription.sentMillis + update.elapsedMillis - update.ageMillis - ROUNDING_MILLIS
    }

    /** The changes after a position of an earlier era are of no use to this instance any more. */
    private fun isDue(source: S, era: Long?): Boolean {
        val state = sources[source] ?: return true
        val periodMillis = if (state.answeredMillis == null) FIRST_RENEWAL_MILLIS else renewalMillis
        val isOfOtherEra = state.era != null && state.era != era
        return isOfOtherEra || nowMillis() - state.subscribedMillis >= periodMillis
    }

    private fun subscriptionOf(source: S, position: Revision?): FeedSubscription {
        val now = nowMillis()
        val state = sources.getOrPut(source) { Source(now, now, answeredMillis = null) }
        state.subscribedMillis = now
        state.era = position?.era
        subscriptions[++lastNonce] = Subscription(source, now)
        while (subscriptions.size > SUBSCRIPTIONS_MAX) subscriptions.remove(subscriptions.keys.first())
        return FeedSubscription(lastNonce, position)
    }
}

/** Greatest error of the elapsed time and the age together, each a difference of whole milliseconds. */
private const val ROUNDING_MILLIS: Long = 2
private const val RENEWAL_MILLIS: Long = 1_000

/** Time after which a subscription without any update is sent again; a datagram takes a few milliseconds. */
private const val FIRST_RENEWAL_MILLIS: Long = 150

/** Time without an update after which a source is silent; it sends one for each confirmation of its state. */
private const val SILENT_MILLIS: Long = 1_000

/** First nonces, so many that those of two processes do not meet. */
private const val NONCES: Long = 1L shl 62

/** Subscriptions that are remembered; a source answers one until it has the next. */
private const val SUBSCRIPTIONS_MAX: Int = 64
