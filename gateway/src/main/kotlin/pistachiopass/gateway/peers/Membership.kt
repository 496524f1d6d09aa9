/**
 * The other instances, as far as known: from the seed addresses in the settings and from gossip between the instances.
 *
 * The list is not authoritative. It determines which instances are sent updates of placed work, and by how many
 * instances shared limits are divided; that number is deliberately overestimated.
 */
package pistachiopass.gateway.peers

import kotlin.math.ceil
import kotlin.random.Random

/** Records when each instance, named by its host, was last seen. Confined to the event loop. */
public class Membership internal constructor(
    private val ownHost: String,
    private val seedHosts: List<String>,
    private val nowMillis: () -> Long,
    private val random: Random = Random.Default,
) {
    private val startedMillis = nowMillis()
    private val lastSeenMillis = HashMap<String, Long>()

    /** Records that this instance or another one received a message from [host] [ageMillis] ago. */
    public fun recordSeen(host: String, ageMillis: Long) {
        if (host == ownHost || ageMillis > FORGET_AFTER_MILLIS) return
        val at = nowMillis() - ageMillis
        lastSeenMillis.merge(host, at, ::maxOf)
    }

    /** Returns the hosts of the instances seen within the last seconds, with the times since then in milliseconds. */
    public fun live(): Map<String, Long> {
        val now = nowMillis()
        return lastSeenMillis.filterValues { now - it < LIVE_MILLIS }.mapValues { now - it.value }
    }

    /**
     * Returns the targets of the next gossip: some live instances at random, and a random seed, since a restarted seed
     * knows no other instances. If there are fewer live targets than seeds, all seeds are targets.
     */
    public fun gossipTargets(): Set<String> {
        val live = live().keys.shuffled(random).take(GOSSIP_FANOUT)
        val seeds = seedHosts.filter { it != ownHost }
        val chosen = if (live.size < seeds.size) seeds else seeds.shuffled(random).take(1)
        return live.toSet() + chosen
    }

    /** Returns the number of instances, this one included, by which to divide limits that all instances share. */
    public fun assumedInstanceCount(): Int {
        val now = nowMillis()
        lastSeenMillis.values.removeIf { now - it > FORGET_AFTER_MILLIS }
        val known = ceil((lastSeenMillis.size + 1) * ASSUMED_FACTOR).toInt()
        return if (now - startedMillis < DISCOVERY_MILLIS) maxOf(known, ASSUMED_AT_START) else maxOf(known, ASSUMED_MIN)
    }
}

/** Time without a message after which an instance gets no updates of placed work; several rounds of gossip. */
private const val LIVE_MILLIS: Long = 3_000

/**
 * Time without a message after which an instance no longer counts in [Membership.assumedInstanceCount]. Behind a
 * network partition, an instance may be back in service although nothing is received from it.
 */
private const val FORGET_AFTER_MILLIS: Long = 60_000

/** Number of live instances that each round of gossip is sent to. */
private const val GOSSIP_FANOUT: Int = 4

/** Allowance for new instances that have not been seen yet. */
private const val ASSUMED_FACTOR: Double = 1.5
private const val ASSUMED_MIN: Int = 12

/** Least number assumed during the first seconds, in which most instances have not been seen yet. */
private const val ASSUMED_AT_START: Int = 64
private const val DISCOVERY_MILLIS: Long = 3_000
