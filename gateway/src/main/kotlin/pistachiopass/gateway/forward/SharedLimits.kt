/** Shares of this instance in limits that hold for all instances together. */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.placement.EngineScopes
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.gateway.state.KnownState
import pistachiopass.limits.LentEndpoint
import pistachiopass.limits.LentLimit
import pistachiopass.limits.lentEndpointOf
import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.model.EndpointId
import kotlin.math.ceil

/** Returns how many requests this instance may send to an endpoint in one window if all may send `limit` together. */
internal fun interface ColdShares {
    fun shareOf(endpoint: KnownEndpoint, limit: Double): Int
}

/**
 * Lends the limit of a cold endpoint to few of the instances that place on it.
 *
 * @param remembered the other instances, those included that were lost recently
 */
internal class LentColdShares(
    private val knownState: KnownState,
    private val self: () -> Member,
    private val remembered: () -> List<Member>,
    private val lent: LentLimit,
) : ColdShares {
    /** Computed while [endpoints] were the usable ones of the service. */
    private class Position(val endpoints: List<KnownEndpoint>, val endpoint: LentEndpoint)

    private val scopes = EngineScopes(self) { neighbours }
    private val positions = HashMap<EndpointId, Position>()
    private var knownMembers: List<Member>? = null
    private var knownTable: RoutingTable? = null
    private var neighbours: List<Member> = emptyList()

    override fun shareOf(endpoint: KnownEndpoint, limit: Double): Int {
        val endpoints = knownState.endpoints.of(endpoint.published.service)
        if (knownMembers !== remembered() || knownTable !== knownState.table) {
            positions.clear()
            knownMembers = remembered()
            knownTable = knownState.table
            // Other data centres have other parts of the limit.
            neighbours = remembered().filter { it.dataCentre == self().dataCentre }
        }
        if (positions[endpoint.id]?.endpoints !== endpoints) {
            if (positions.size >= POSITIONS_MAX) positions.clear()
            positions[endpoint.id] = Position(endpoints, positionAt(endpoint, endpoints))
        }
        return lent.shareOf(positions.getValue(endpoint.id).endpoint, limit)
    }

    private fun positionAt(endpoint: KnownEndpoint, endpoints: List<KnownEndpoint>): LentEndpoint = lentEndpointOf(
        endpoint.id,
        endpoint.published.dataCentre,
        self(),
        placersOf(endpoint, endpoints),
        endpoints.mapTo(HashSet()) { it.published.dataCentre },
    )

    /** All instances place on endpoints that are not model engines. */
    private fun placersOf(endpoint: KnownEndpoint, endpoints: List<KnownEndpoint>): List<MemberHost> {
        val service = endpoint.published.service
        if (knownState.table?.services?.get(service)?.engine == null) return (neighbours + self()).map { it.host }
        val own = scopes.ownOf(service, endpoints)
        val isPlacer = endpoint.id in own.home || endpoint.id in own.overflow
        return scopes.audienceOf(endpoint, endpoints) + if (isPlacer) listOf(self().host) else emptyList()
    }
}

/**
 * Overestimates the number of instances, so that the shares that all of them use add up to less than the limit although
 * each counts for itself.
 *
 * @param countedInstances the present estimate of the membership
 */
internal class SharedLimits(private val nowMillis: () -> Long, private val countedInstances: () -> Int) {
    private val startedMillis = nowMillis()

    /** Returns the number to divide by; very high during the first seconds, in which the fleet is not yet counted. */
    fun assumedInstances(): Int {
        if (nowMillis() - startedMillis < COUNTING_MILLIS) return ASSUMED_AT_START
        return maxOf(ceil(countedInstances() * ASSUMED_FACTOR).toInt(), ASSUMED_MIN)
    }
}

/** Cold endpoints whose positions are kept; more than a fleet has, unless ids change with each start. */
private const val POSITIONS_MAX: Int = 4_096

/** Time in which an instance of a fleet that starts as a whole has counted most of the others. */
private const val COUNTING_MILLIS: Long = 4_000

/** More than any deployment has; with it, no share reaches a whole request. */
private const val ASSUMED_AT_START: Int = 1_024

/** Allowance for instances that have not been counted yet. */
private const val ASSUMED_FACTOR: Double = 1.5
private const val ASSUMED_MIN: Int = 12
