/**
 * Records the load of one attempt on its engines, and announces it to the other instances that place on them.
 *
 * Of an attempt with reserved memory, an engine is recorded while it is asked, so that other requests of this instance
 * avoid it, and announced once it has granted the memory: an engine that refused gets no work.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.PlacedWork
import pistachiopass.gateway.placement.WorkEstimate
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.membership.MemberHost

/** The load of one attempt to have [request] answered. */
internal class AttemptLoad(private val request: ForwardedRequest, private val context: SenderContext) :
    ReservationObserver {
    private val placedByEngine = LinkedHashMap<EndpointIncarnation, PlacedWork>()
    private val announced = LinkedHashMap<PlacedWork, List<MemberHost>>()

    /** The entries of the attempt in the load records. */
    val placed: List<PlacedWork> get() = placedByEngine.values.toList()

    /** Records and announces the work of all engines of [assignment]. */
    fun add(assignment: Assignment) {
        assignment.engines.zip(assignment.estimates) { engine, estimate ->
            onAsked(engine, estimate)
            onGranted(engine, estimate)
        }
    }

    override fun onAsked(engine: KnownEndpoint, estimate: WorkEstimate) {
        placedByEngine[estimate.endpoint] = context.records.load.add(estimate)
    }

    override fun onGranted(engine: KnownEndpoint, estimate: WorkEstimate) {
        val placed = placedByEngine[estimate.endpoint] ?: return
        val audience = context.endpoints.audienceOf(request.admitted.service, engine)
        announced[placed] = audience
        context.records.estimates.placed(audience, placed, request.admitted.workspaceHash)
    }

    override fun onNotGranted(engine: KnownEndpoint, estimate: WorkEstimate) {
        placedByEngine.remove(estimate.endpoint)?.let(context.records.load::end)
    }

    override fun onEnded(outcome: ReservingOutcome): Unit = context.records.onReserved(request, outcome)

    /** Removes the entries from the load records, and tells the instances that know of them. */
    fun end() {
        placedByEngine.values.forEach(context.records.load::end)
        announced.forEach { (placed, audience) -> context.records.estimates.ended(audience, placed) }
    }
}
