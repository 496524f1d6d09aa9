/**
 * The other instances, as far as known: from the seeds of the settings and from what the instances tell each other.
 *
 * Membership has no authority. It says whom to tell of placed work and among how many instances to split what is summed
 * over all, and for the latter it errs on the side of too many.
 */
package pistachiopass.gateway.peers

import kotlin.math.ceil
import kotlin.random.Random

/** Keeps when each instance, named by its host, was last heard of. All calls come from the event loop. */
public class Membership internal constructor(
    private val ownHost: String,
    private val seedHosts: List<String>,
    private val nowMillis: () -> Long,
    private val random: Random = Random.Default,
) {
    private val startedMillis = nowMillis()
    private val lastSeenMillis = HashMap<String, Long>()

    /** Records that [host] was heard of [ageMillis] ago. */
    public fun recordSeen(host: String, ageMillis: Long) {
        if (host == ownHost || ageMillis > FORGET_AFTER_MILLIS) return
        val at = nowMillis() - ageMillis
        lastSeenMillis.merge(host, at, ::maxOf)
    }

    /** Returns the instances that were heard of a short time ago, with the ages. */
    public fun live(): Map<String, Long> {
        val now = nowMillis()
        return lastSeenMillis.filterValues { now - it < LIVE_MILLIS }.mapValues { now - it.value }
    }

    /** Returns whom to greet: some live instances at random, and a seed, which may have started anew. */
    public fun gossipTargets(): Set<String> {
        val live = live().keys.shuffled(random).take(GOSSIP_FANOUT)
        val seeds = seedHosts.filter { it != ownHost }
        val chosen = if (live.size < seeds.size) seeds else seeds.shuffled(random).take(1)
        return live.toSet() + chosen
    }

    /** Returns the number of instances, this one included, among which to split what is summed over all. */
    public fun assumedInstanceCount(): Int {
        val now = nowMillis()
        lastSeenMillis.values.removeIf { now - it > FORGET_AFTER_MILLIS }
        val known = ceil((lastSeenMillis.size + 1) * ASSUMED_FACTOR).toInt()
        return if (now - startedMillis < DISCOVERY_MILLIS) maxOf(known, ASSUMED_AT_START) else maxOf(known, ASSUMED_MIN)
    }
}

/** Age up to which an instance is told of work; several greetings. */
private const val LIVE_MILLIS: Long = 3_000

/** Age after which an instance no longer counts in splits: it may have come back unheard for as long as a cut lasts. */
private const val FORGET_AFTER_MILLIS: Long = 60_000
private const val GOSSIP_FANOUT: Int = 4

/** Allowance for instances that were added and are not heard of yet. */
private const val ASSUMED_FACTOR: Double = 1.5
private const val ASSUMED_MIN: Int = 12

/** Number assumed while the fleet's size is not known. */
private const val ASSUMED_AT_START: Int = 64
private const val DISCOVERY_MILLIS: Long = 3_000
