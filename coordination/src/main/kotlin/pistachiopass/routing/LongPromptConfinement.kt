/**
 * Confinement of long prompts to as few endpoints of a pool as their load needs.
 *
 * The endpoints are the first ones by rendezvous hashing of the pool name. Instances with the same tables and the same
 * count therefore select the same endpoints, and those whose counts differ by one differ in one endpoint.
 */
package pistachiopass.routing

import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.Pool
import pistachiopass.model.PoolName
import kotlin.math.ceil
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Returns the first [count] active endpoints for long prompts of [pool] in [dataCentre].
 *
 * Endpoints with more memory come first, since only they can hold the longest prompts.
 */
public fun longPromptEndpoints(pool: Pool, dataCentre: DataCentreId, count: Int): Set<EndpointId> =
    pool.endpoints
        .filter { it.dataCentre == dataCentre && it.state == EndpointState.ACTIVE }
        .rankedFor("long/${pool.name}") { it.id.value }
        .sortedByDescending(Endpoint::budgetTokens)
        .take(count)
        .mapTo(LinkedHashSet()) { it.id }

/** Determines the number of endpoints for long prompts in one pool and data centre; not thread-safe. */
public class LongPromptConfinement internal constructor(
    private val targetUtilisation: Double,
    private val shrinkUtilisation: Double,
) {
    /**
     * Number of endpoints to which long prompts are confined; 0 while there are no long prompts, so that the first may
     * use any endpoint.
     */
    public var count: Int = 0
        private set

    /**
     * Returns the new count, given that long prompts hold the fraction [heldShare] of the memory of [endpoints]
     * endpoints.
     *
     * The count grows as soon as the utilisation of the endpoints for long prompts would exceed the target. It falls by
     * one at a time, once the utilisation with one endpoint fewer would not exceed the lower limit.
     */
    public fun update(heldShare: Double, endpoints: Int): Int {
        require(heldShare in 0.0..1.0) { "heldShare must be in 0..1, was $heldShare" }
        val load = heldShare * endpoints
        val needed = ceil(load / targetUtilisation).toInt()
        val canShrink = count > needed && load <= shrinkUtilisation * (count - 1)
        val wanted = when {
            needed > count -> needed
            canShrink -> count - 1
            else -> count
        }
        count = wanted.coerceIn(0, endpoints)
        return count
    }
}

/** Returns a confinement whose count grows above [targetUtilisation] and shrinks below [shrinkUtilisation]. */
public fun longPromptConfinementOf(
    targetUtilisation: Double = DEFAULT_TARGET_UTILISATION,
    shrinkUtilisation: Double = DEFAULT_SHRINK_UTILISATION,
): LongPromptConfinement {
    require(0 < shrinkUtilisation && shrinkUtilisation < targetUtilisation && targetUtilisation <= 1) {
        "expected 0 < shrinkUtilisation < targetUtilisation <= 1, were $shrinkUtilisation and $targetUtilisation"
    }
    return LongPromptConfinement(targetUtilisation, shrinkUtilisation)
}

private const val DEFAULT_TARGET_UTILISATION: Double = 0.35
private const val DEFAULT_SHRINK_UTILISATION: Double = 0.25

/**
 * Selects the endpoints for long prompts of each pool in [dataCentre] from the load reports; thread-safe.
 *
 * The count is updated at most once per [UPDATE_MILLIS], since the reports lag and would make it oscillate.
 */
public class LongPromptEndpoints(
    private val dataCentre: DataCentreId,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val pools: HashMap<PoolName, PoolState> = HashMap()

    /** Returns the endpoints of [pool]; [heldTokens] returns the tokens of each request that an endpoint holds. */
    @Synchronized
    public fun endpointsOf(pool: Pool, heldTokens: (EndpointId) -> List<Long>): Set<EndpointId> {
        val state = pools.getOrPut(pool.name) { PoolState(longPromptConfinementOf()) }
        if (state.nextUpdate?.hasNotPassedNow() != true) {
            state.nextUpdate = timeSource.markNow() + UPDATE_MILLIS.milliseconds
            update(state.confinement, pool, heldTokens)
        }
        return longPromptEndpoints(pool, dataCentre, state.confinement.count)
    }

    private fun update(confinement: LongPromptConfinement, pool: Pool, heldTokens: (EndpointId) -> List<Long>) {
        val endpoints = pool.endpoints.filter { it.dataCentre == dataCentre && it.state == EndpointState.ACTIVE }
        val budgetTokens = endpoints.sumOf { it.budgetTokens }.coerceAtLeast(1)
        val longTokens = endpoints.sumOf { endpoint ->
            heldTokens(endpoint.id).filter { promptClassOf(it).isLong }.sum()
        }
        confinement.update((longTokens.toDouble() / budgetTokens).coerceAtMost(1.0), endpoints.size)
    }

    private class PoolState(val confinement: LongPromptConfinement, var nextUpdate: ComparableTimeMark? = null)
}

private const val UPDATE_MILLIS: Long = 1_000
