/** Exchanges samples of endpoint speeds with the other instances. */
package pistachiopass.gateway.peers

import pistachiopass.estimate.EndpointEstimates
import pistachiopass.estimate.EndpointGroup
import pistachiopass.estimate.EstimateGossip
import pistachiopass.estimate.EstimateMessage
import pistachiopass.estimate.EstimateScope
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.Service
import pistachiopass.gateway.placement.EngineScopes
import pistachiopass.gateway.placement.speedGroup
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.gateway.state.KnownState
import pistachiopass.membership.GossipMembership
import pistachiopass.membership.MemberHost

/** The published endpoints: model engines are used by the instances of their scopes, other endpoints by all. */
internal class PublishedEstimateScope(
    private val knownState: KnownState,
    private val scopes: EngineScopes,
    private val membership: GossipMembership,
) : EstimateScope<MemberHost> {
    override fun groupOrNull(endpoint: EndpointIncarnation): EndpointGroup? =
        knownOrNull(endpoint)?.let(::serviceOrNull)?.speedGroup

    override fun audienceOf(endpoint: EndpointIncarnation): List<MemberHost> {
        val known = knownOrNull(endpoint) ?: return emptyList()
        val isEngine = serviceOrNull(known)?.engine != null
        return if (isEngine) {
            scopes.audienceOf(known, knownState.endpoints.of(known.published.service))
        } else {
            membership.live.map { it.host }
        }
    }

    private fun knownOrNull(endpoint: EndpointIncarnation): KnownEndpoint? =
        knownState.endpoints.findOrNull(endpoint.endpoint)?.takeIf { it.published.incarnation == endpoint }

    private fun serviceOrNull(known: KnownEndpoint): Service? = knownState.table?.services?.get(known.published.service)
}

/** Sends samples of [estimates] over [channel] and takes in those of others. Confined to the event loop. */
internal class EstimateExchange(
    estimates: EndpointEstimates,
    scope: EstimateScope<MemberHost>,
    private val channel: PeerChannel,
    clock: AgeClock,
) {
    private val gossip =
        EstimateGossip(estimates, scope, startedMillis = System.currentTimeMillis(), clock::nowMillis)

    /** Sends what is due; to be called several times a second. */
    fun tick(): Unit = gossip.tick().forEach { channel.send(it.to, EstimateDocument(it.message)) }

    fun receive(sender: MemberHost, message: EstimateMessage) {
        gossip.receive(sender, message)
    }
}
