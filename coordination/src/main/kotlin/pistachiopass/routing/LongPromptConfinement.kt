/**
 * Confinement of long prompts to as few endpoints of a pool as their load needs.
 *
 * The endpoints are the first ones by rendezvous on the pool's name, so that instances which know the same tables and
 * the same number name the same endpoints, and those whose numbers differ by one differ in one endpoint.
 */
package pistachiopass.routing

import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.Pool
import kotlin.math.ceil

/**
 * Returns the first [count] endpoints for long prompts of [pool] in [dataCentre]; leaving ones do not count.
 *
 * An endpoint with a larger memory comes before all smaller ones, since only it can hold the longest prompts.
 */
public fun longPromptEndpoints(pool: Pool, dataCentre: DataCentreId, count: Int): Set<EndpointId> =
    pool.endpoints
        .filter { it.dataCentre == dataCentre && it.state == EndpointState.ACTIVE }
        .rankedFor("long/${pool.name}") { it.id.value }
        .sortedByDescending(Endpoint::budgetTokens)
        .take(count)
        .mapTo(LinkedHashSet()) { it.id }

/** Keeps the number of endpoints for long prompts of one pool and data centre; callers guard it against concurrency. */
public class LongPromptConfinement internal constructor(
    private val targetFill: Double,
    private val releaseFill: Double,
) {
    /** Endpoints that long prompts may use. */
    public var count: Int = 1
        private set

    /**
     * Takes in that long prompts hold [heldShare] of the memory of [endpoints] endpoints, and returns the new count.
     *
     * The count grows as soon as their endpoints would be fuller than the target, and falls by one at a time once one
     * fewer would be no fuller than the lower limit.
     */
    public fun update(heldShare: Double, endpoints: Int): Int {
        require(heldShare in 0.0..1.0) { "heldShare must be in 0..1, was $heldShare" }
        val load = heldShare * endpoints
        val needed = maxOf(1, ceil(load / targetFill).toInt())
        val isAmple = count > needed && load <= releaseFill * (count - 1)
        val wanted = when {
            needed > count -> needed
            isAmple -> count - 1
            else -> count
        }
        count = wanted.coerceIn(1, maxOf(1, endpoints))
        return count
    }
}

/** Returns a confinement to one endpoint that grows above [targetFill] and shrinks below [releaseFill]. */
public fun longPromptConfinementOf(
    targetFill: Double = DEFAULT_TARGET_FILL,
    releaseFill: Double = DEFAULT_RELEASE_FILL,
): LongPromptConfinement {
    require(0 < releaseFill && releaseFill < targetFill && targetFill <= 1) {
        "fills must be 0 < releaseFill < targetFill <= 1, were $releaseFill and $targetFill"
    }
    return LongPromptConfinement(targetFill, releaseFill)
}

private const val DEFAULT_TARGET_FILL: Double = 0.7
private const val DEFAULT_RELEASE_FILL: Double = 0.5
