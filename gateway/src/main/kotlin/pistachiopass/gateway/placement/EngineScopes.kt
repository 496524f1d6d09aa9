/**
 * Divides the engines of a service among the instances, so that an instance places requests on engines that few others
 * use, and tells only those of its placements.
 *
 * Instances know of each other's placements by estimates. If all placed on all engines, each estimate would have to
 * reach each instance, at a cost that grows with instances times requests. An instance therefore places on its home
 * engines, those of its own data centre; on some of them, chosen by rendezvous, if there are many, and on some of other
 * data centres as well if there are few. Callers do not come to all data centres alike, so each instance also has a few
 * overflow engines elsewhere, other ones than its neighbours, to which it turns when its home engines are busy.
 *
 * All instances compute the same scopes from the members and the published endpoints. Where their views differ, an
 * estimate is missing or superfluous, and placements are worse for a moment.
 *
 * For fleets of a hundred instances and more. With a few dozen engines in all, each instance uses all of them.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.routing.longPromptPositionsOf
import pistachiopass.routing.rankedFor

/** Ids of the engines on which an instance places: [home] engines, and [overflow] engines for when these are busy. */
internal class EngineScope(val home: Set<EndpointId>, val overflow: Set<EndpointId>)

/** Computes the scopes of [self] and of the other [members]. Confined to the event loop. */
internal class EngineScopes(private val self: () -> Member, private val members: () -> List<Member>) {
    private class Scopes(
        val endpoints: List<KnownEndpoint>,
        val members: List<Member>,
        val own: EngineScope,
        val audiences: Map<EndpointId, List<MemberHost>>,
        val longPromptPositions: Map<EndpointId, Double>,
    )

    private val scopesByService = HashMap<ServiceName, Scopes>()

    /** Returns those of [endpoints], the usable ones of [service], on which this instance places. */
    fun ownOf(service: ServiceName, endpoints: List<KnownEndpoint>): EngineScope = scopesOf(service, endpoints).own

    /** Returns the positions of [endpoints] in the partition for long prompts; see [longPromptPositionsOf]. */
    fun longPromptPositionsOf(service: ServiceName, endpoints: List<KnownEndpoint>): Map<EndpointId, Double> =
        scopesOf(service, endpoints).longPromptPositions

    /** Returns the other instances that place on [endpoint], one of [endpoints]. */
    fun audienceOf(endpoint: KnownEndpoint, endpoints: List<KnownEndpoint>): List<MemberHost> =
        scopesOf(endpoint.published.service, endpoints).audiences[endpoint.id].orEmpty()

    private fun scopesOf(service: ServiceName, endpoints: List<KnownEndpoint>): Scopes {
        val others = members()
        val known = scopesByService[service]
        if (known != null && known.endpoints === endpoints && known.members === others) return known
        val scopes = ScopeRule(endpoints)
        val audiences = HashMap<EndpointId, MutableList<MemberHost>>()
        others.forEach { member ->
            (scopes.homeOf(member) + scopes.overflowOf(member))
                .forEach { audiences.getOrPut(it.id, ::ArrayList) += member.host }
        }
        val own = EngineScope(idsOf(scopes.homeOf(self())), idsOf(scopes.overflowOf(self())))
        return Scopes(endpoints, others, own, audiences, longPromptPositionsOf(endpoints)).also {
            scopesByService[service] = it
        }
    }
}

/** Data centres with few engines share them, so there the partition is one over all engines. */
private fun longPromptPositionsOf(endpoints: List<KnownEndpoint>): Map<EndpointId, Double> {
    val byDataCentre = endpoints.groupBy { it.published.dataCentre }.values
    val groups = if (byDataCentre.all { it.size >= HOME_MIN }) byDataCentre else listOf(endpoints)
    return groups.flatMap { group -> longPromptPositionsOf(group.map { it.id }) { it.value }.entries }
        .associate { it.key to it.value }
}

private fun idsOf(endpoints: List<KnownEndpoint>): Set<EndpointId> = endpoints.mapTo(HashSet()) { it.id }

/** The scopes of instances over [endpoints]. */
private class ScopeRule(private val endpoints: List<KnownEndpoint>) {
    private val byDataCentre = endpoints.groupBy { it.published.dataCentre }
    private val overflowGroups = endpoints.rankedFor(OVERFLOW_KEY) { it.id.value }.chunked(OVERFLOW_GROUP)
    private val extended = HashMap<DataCentreId, List<KnownEndpoint>>()

    fun homeOf(member: Member): List<KnownEndpoint> {
        val local = byDataCentre[member.dataCentre].orEmpty()
        return when {
            local.size > HOME_MAX -> local.rankedFor(member.host.value) { it.id.value }.take(HOME_MAX)
            local.size >= HOME_MIN -> local
            // The same for all instances of a data centre, so that they tell each other of all placements.
            else -> extended.getOrPut(member.dataCentre) { local + others(member.dataCentre, HOME_MAX - local.size) }
        }
    }

    fun overflowOf(member: Member): List<KnownEndpoint> {
        val isHomeLocal = byDataCentre[member.dataCentre].orEmpty().size >= HOME_MIN
        if (!isHomeLocal) return emptyList()
        val group = overflowGroups[Math.floorMod(member.host.value.hashCode(), overflowGroups.size)]
        return group.filter { it.published.dataCentre != member.dataCentre }
    }

    private fun others(dataCentre: DataCentreId, count: Int): List<KnownEndpoint> =
        endpoints.filter { it.published.dataCentre != dataCentre }
            .rankedFor(dataCentre.value) { it.id.value }
            .take(count)
}

/** Enough engines for a prompt whose prefill is split as widely as the protocol allows. */
private const val HOME_MIN: Int = 17

/** Twice that; more engines hardly improve a placement, but each costs time for each decision. */
private const val HOME_MAX: Int = 34

private const val OVERFLOW_KEY: String = "overflow"

/**
 * Engines of a group, of which an instance gets those of other data centres. The groups of the instances of one data
 * centre add up to most engines elsewhere, while an estimate reaches only a few instances more.
 */
private const val OVERFLOW_GROUP: Int = 10
