/**
 * Passes the published state on to other instances that do not watch the store themselves.
 *
 * A reader subscribes by a datagram with a nonce and renews the subscription every second or so. It gets an update as
 * soon as something has changed or the state was confirmed again. An update says how long ago, on this instance's
 * monotonic clock, the subscription arrived, and how old the state was at that moment. The reader counts from the time
 * at which it sent the subscription, so no delay, loss or pause makes the state look younger than it is: see
 * [FeedSubscriptions]. Any instance serves as a source, whether it watches the store or subscribes itself.
 *
 * For fleets of dozens to hundreds of instances: the store gets calls from a few instances of each data centre only.
 */
package pistachiopass.published

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Subscribes to a source, or renews the subscription; [position] is that of the reader, null if it has no state. */
@Serializable
public data class FeedSubscription(
    @SerialName("n") val nonce: Long,
    @SerialName("p") val position: Revision?,
)

/**
 * The state of a source, [elapsedMillis] after it received the subscription [nonce].
 *
 * The state was current [ageMillis] ago. [items] are the changes after [base]; see [actionOf] for who may apply them.
 * If the changes that the reader lacks do not fit, [base] is [position] and [items] are some of the small ones: the
 * reader uses these at once, and fetches the others, so that small changes do not wait for a large one.
 */
@Serializable
public class FeedUpdate(
    @SerialName("n") public val nonce: Long,
    @SerialName("e") public val elapsedMillis: Long,
    @SerialName("a") public val ageMillis: Long,
    @SerialName("p") public val position: Revision,
    @SerialName("b") public val base: Revision,
    @SerialName("i") public val items: List<PublishedItem>,
)

/** Limits of a feed. */
public class FeedSettings(
    /** Time without a renewal after which a subscription ends; a few renewals. */
    public val subscriptionMillis: Long = 3_500,
    /** Size of the items of one update, so that it fits a datagram; what does not fit is fetched. */
    public val itemBytesMax: Int = 1_100,
    /** Updates by which a reader is told at once of small changes that do not fit one. */
    public val partsMax: Int = 8,
)

/** Answers the subscriptions of readers, which [S] names. Confined to one thread. */
public class StateFeed<S : Any>(
    private val log: PublishedLog,
    /** Age of the state in milliseconds, or null if it was never confirmed. */
    private val ageMillisOrNull: () -> Long?,
    /** A clock that does not advance while the process or the machine is paused. */
    private val monotonicMillis: () -> Long,
    private val settings: FeedSettings = FeedSettings(),
) {
    /** [told] is the position up to which small changes were told apart from those before them. */
    private class Subscription(val nonce: Long, val atMillis: Long, val position: Revision?, var told: Revision?)

    private val subscriptions = HashMap<S, Subscription>()

    /** Number of readers with a subscription. */
    public val readers: Int get() = subscriptions.size

    /** Records the subscription of [reader] and returns the updates that answer it; none if no state is known. */
    public fun subscribe(reader: S, subscription: FeedSubscription): List<FeedUpdate> {
        val position = subscription.position
        val held = Subscription(subscription.nonce, monotonicMillis(), position, position)
        subscriptions[reader] = held
        return updatesOf(held)
    }

    /** Returns the updates for all readers; to be sent when the state has changed or was confirmed again. */
    public fun updates(): List<Pair<S, FeedUpdate>> {
        val endedMillis = monotonicMillis() - settings.subscriptionMillis
        subscriptions.values.removeIf { it.atMillis < endedMillis }
        return subscriptions.flatMap { (reader, held) -> updatesOf(held).map { reader to it } }
    }

    private fun updatesOf(held: Subscription): List<FeedUpdate> {
        val position = log.position
        val ageMillis = ageMillisOrNull()
        if (position == null || ageMillis == null) return emptyList()
        val changes = held.position?.let(log::changesAfter)?.takeUnless { it.isFull }
        val isWhole = changes != null && changes.items.sumOf(::bytesOf) <= settings.itemBytesMax
        val base = if (isWhole) checkNotNull(held.position) else position
        val parts = if (isWhole) listOf(checkNotNull(changes).items) else partsOf(changes?.items.orEmpty(), held)
        return parts.map { items ->
            FeedUpdate(held.nonce, monotonicMillis() - held.atMillis, ageMillis, position, base, items)
        }
    }

    /** Returns the small ones of [items] that [held] was not told yet, as many as may be told at once. */
    private fun partsOf(items: List<PublishedItem>, held: Subscription): List<List<PublishedItem>> {
        val told = held.told
        val parts = arrayListOf(ArrayList<PublishedItem>())
        var bytes = 0
        for (item in items.filter { told != null && it.revision > told && bytesOf(it) <= settings.itemBytesMax }) {
            bytes += bytesOf(item)
            if (bytes > settings.itemBytesMax) {
                if (parts.size == settings.partsMax) break
                parts += ArrayList<PublishedItem>()
                bytes = bytesOf(item)
            }
            parts.last() += item
            held.told = item.revision
        }
        return parts
    }

    private fun bytesOf(item: PublishedItem): Int {
        val valueBytes = (item.value?.size ?: 0) + (item.hold?.published?.size ?: 0)
        return item.key.length + valueBytes + ITEM_OVERHEAD_BYTES
    }
}

/** Encoded size of an item's revision and field names. */
private const val ITEM_OVERHEAD_BYTES: Int = 24
