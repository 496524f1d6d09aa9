/** The endpoints that an instance shares with others, as far as its attempts need to know. */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.Service
import pistachiopass.gateway.placement.Candidates
import pistachiopass.gateway.placement.EngineScopes
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.gateway.state.KnownState
import pistachiopass.membership.MemberHost

/** The endpoints on which this instance places, and the instances that it tells of its placements. */
internal class SharedEndpoints(private val knownState: KnownState, private val scopes: EngineScopes) {
    /** Returns the endpoints of [service] that [mayReceive] accepts. */
    fun candidatesOf(service: Service, mayReceive: (KnownEndpoint) -> Boolean): Candidates {
        val usable = knownState.endpoints.of(service.name)
        val accepted = usable.filter(mayReceive)
        if (service.engine == null) return Candidates(accepted, emptyList(), accepted)
        val own = scopes.ownOf(service.name, usable)
        return Candidates(
            accepted.filter { it.id in own.home },
            accepted.filter { it.id in own.overflow },
            accepted,
            scopes.longPromptPositionsOf(service.name, usable),
        )
    }

    /** Returns whether requests may be sent to [endpoint] now. */
    fun isUsable(endpoint: KnownEndpoint): Boolean = knownState.endpoints.isUsable(endpoint)

    /** Returns the other instances that place on [endpoint]; none if it is not a model engine. */
    fun audienceOf(service: Service, endpoint: KnownEndpoint): List<MemberHost> =
        if (service.engine == null) emptyList() else scopes.audienceOf(endpoint, knownState.endpoints.of(service.name))
}
