/**
 * Divides the engines of a service among the instances, so that an instance places requests on engines that few others
 * use, and tells only those of its placements.
 *
 * Instances know of each other's placements by estimates. If all placed on all engines, each estimate would have to
 * reach each instance, at a cost that grows with instances times requests. An instance therefore places on the engines
 * of its own data centre; on some of them, chosen by rendezvous, if there are many, and on some of other data centres
 * as well if there are few. All instances compute the same scopes from the members and the published endpoints. Where
 * their views differ, an estimate is missing or superfluous, and placements are worse for a moment.
 *
 * For fleets of a hundred instances and more. With a few dozen engines in all, each instance uses all of them.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.model.EndpointId
import pistachiopass.routing.rankedFor

/** Computes the scopes of [self] and of the other [members]. Confined to the event loop. */
internal class EngineScopes(private val self: () -> Member, private val members: () -> List<Member>) {
    private class Scopes(
        val endpoints: List<KnownEndpoint>,
        val members: List<Member>,
        val own: Set<EndpointId>,
        val audiences: Map<EndpointId, List<MemberHost>>,
    )

    private val scopesByService = HashMap<ServiceName, Scopes>()

    /** Returns the ids of those of [endpoints], the usable ones of [service], on which this instance places. */
    fun ownOf(service: ServiceName, endpoints: List<KnownEndpoint>): Set<EndpointId> = scopesOf(service, endpoints).own

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
            scopes.of(member).forEach { audiences.getOrPut(it.id, ::ArrayList) += member.host }
        }
        val own = scopes.of(self()).mapTo(HashSet()) { it.id }
        return Scopes(endpoints, others, own, audiences).also { scopesByService[service] = it }
    }
}

/** The scopes of instances over [endpoints]. */
private class ScopeRule(private val endpoints: List<KnownEndpoint>) {
    private val byDataCentre = endpoints.groupBy { it.published.dataCentre }
    private val extended = HashMap<String, List<KnownEndpoint>>()

    fun of(member: Member): List<KnownEndpoint> {
        val local = byDataCentre[member.dataCentre].orEmpty()
        return when {
            local.size > SCOPE_MAX -> local.rankedFor(member.host.value) { it.id.value }.take(SCOPE_MAX)
            local.size >= SCOPE_MIN -> local
            else -> extended.getOrPut(member.dataCentre.value) { local + others(member, SCOPE_MAX - local.size) }
        }
    }

    /** The same for all instances of a data centre, so that they tell each other of all placements. */
    private fun others(member: Member, count: Int): List<KnownEndpoint> =
        endpoints.filter { it.published.dataCentre != member.dataCentre }
            .rankedFor(member.dataCentre.value) { it.id.value }
            .take(count)
}

/** Enough engines for a prompt whose prefill is split as widely as the protocol allows. */
private const val SCOPE_MIN: Int = 17

/** Twice that; more engines hardly improve a placement, but each costs time for each decision. */
private const val SCOPE_MAX: Int = 34
