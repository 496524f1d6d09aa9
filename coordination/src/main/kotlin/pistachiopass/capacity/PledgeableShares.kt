/** The shares of endpoint budgets that an instance may pledge while the published tables change. */
package pistachiopass.capacity

import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId

/**
 * The shares that [self] may pledge: a decrease applies immediately, an increase only after the settle time.
 *
 * By then every instance has received the change, and no pledge of an earlier, larger share is still valid. A process
 * that has just started does not know what its earlier incarnation or other instances may still hold, so its shares are
 * treated as increased from zero.
 */
public class PledgeableShares(
    private val self: InstanceId,
    private val times: CapacityTimes,
    private val clock: LocalClock,
) {
    private val past: ArrayDeque<PastShares> = ArrayDeque()
    private var present: Map<EndpointId, Share> = emptyMap()
    private var tables: Pair<List<Endpoint>, List<Instance>>? = null

    /** Records the tables in force; does nothing while they are unchanged. */
    @Synchronized
    public fun update(endpoints: List<Endpoint>, instances: List<Instance>) {
        val changed = endpoints to instances
        if (tables == changed) return
        tables = changed
        past.addLast(PastShares(present, clock.nowMillis()))
        present = endpoints.associate { it.id to (instances.sharesOf(it)[self] ?: Share.NONE) }
    }

    /** Returns the share of each endpoint that may be pledged now. */
    @Synchronized
    public fun current(): Map<EndpointId, Share> {
        val now = clock.nowMillis()
        while (past.isNotEmpty() && past.first().replacedAtMillis + times.settleMillis <= now) past.removeFirst()
        return present.mapValues { (endpoint, share) ->
            past.fold(share) { least, earlier -> minOf(least, earlier.of(endpoint)) }
        }
    }

    private class PastShares(val shares: Map<EndpointId, Share>, val replacedAtMillis: Long) {
        fun of(endpoint: EndpointId): Share = shares[endpoint] ?: Share.NONE
    }
}
