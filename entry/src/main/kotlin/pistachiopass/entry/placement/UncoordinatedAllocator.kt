/**
 * Allocation that considers only the load reports of endpoints and this instance's own requests.
 *
 * Several instances that allocate in this way can overload an endpoint together. This allocator is the baseline that
 * others are compared with.
 */
package pistachiopass.entry.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import pistachiopass.entry.endpoint.EndpointBreaker
import pistachiopass.entry.endpoint.LoadController
import pistachiopass.entry.http.Target
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Pool
import pistachiopass.model.RequestId
import pistachiopass.model.Verdict
import pistachiopass.routing.Choice
import pistachiopass.routing.EndpointChooser
import pistachiopass.routing.EndpointLoad
import pistachiopass.routing.FleetView
import pistachiopass.routing.RequestMetadata
import java.util.concurrent.atomic.AtomicBoolean

/** Allocates without asking other instances. */
public class UncoordinatedAllocator(
    private val dataCentre: DataCentreId,
    private val chooser: EndpointChooser,
    private val loads: LoadController,
    private val dataCentresOut: () -> Set<DataCentreId>,
    private val breaker: EndpointBreaker = EndpointBreaker(),
    private val log: EventLog = EventLog,
) : CapacityAllocator {
    private val ownTokens: MutableMap<EndpointId, Long> = HashMap()
    private val ownSlots: MutableMap<EndpointId, Int> = HashMap()

    override suspend fun allocate(
        requestId: RequestId,
        metadata: RequestMetadata,
        target: Target,
    ): Result<Allocation, Failure> = synchronized(this) {
        val choice = chooser.choose(metadata, target.pool, viewOf(target.pool))
        val endpoint = choice.endpoint ?: return@synchronized Err(refusal(choice, metadata, target, requestId))
        log.log(Event.ENDPOINT_CHOSEN, requestId, field("endpoint", endpoint.id), field("pool", target.pool.name))
        adjustOwnUse(endpoint.id, metadata.tokens, 1)
        Ok(OwnAllocation(endpoint, requestId, metadata.tokens))
    }

    private fun viewOf(pool: Pool): FleetView =
        FleetView(dataCentre, dataCentresOut(), pool.endpoints.associate { it.id to loadOf(it.id) })

    private fun loadOf(endpoint: EndpointId): EndpointLoad {
        val observed = loads.loadOrNull(endpoint)
        val report = observed?.report
        return EndpointLoad(
            cold = report?.cold ?: true,
            reachable = (observed == null || report != null) && !breaker.isOpen(endpoint),
            heldTokens = maxOf(report?.usedTokens ?: 0, ownTokens[endpoint] ?: 0),
            heldSlots = maxOf(report?.requests?.size ?: 0, ownSlots[endpoint] ?: 0),
        )
    }

    private fun refusal(choice: Choice, metadata: RequestMetadata, target: Target, requestId: RequestId): Failure {
        log.log(Event.PLACEMENT_REFUSED, requestId, field("pool", target.pool.name), field("tokens", metadata.tokens))
        return placementFailure(choice, metadata, target.pool)
    }

    private fun adjustOwnUse(endpoint: EndpointId, tokens: Long, slots: Int) {
        ownTokens.merge(endpoint, tokens, Long::plus)
        ownSlots.merge(endpoint, slots, Int::plus)
    }

    private inner class OwnAllocation(
        override val endpoint: Endpoint,
        override val leaseId: RequestId,
        private val tokens: Long,
    ) : Allocation {
        private val released = AtomicBoolean()

        override fun isValid(): Boolean = true

        override suspend fun release(holdsNothing: Boolean) {
            if (!released.compareAndSet(false, true)) return
            synchronized(this@UncoordinatedAllocator) { adjustOwnUse(endpoint.id, -tokens, -1) }
        }
    }
}

/** Returns the failure for a choice that found no endpoint. */
internal fun placementFailure(choice: Choice, metadata: RequestMetadata, pool: Pool): Failure =
    if (choice.exceedsEveryEndpoint) {
        val largest = pool.endpoints.maxOf { it.budgetTokens }
        Failure(
            FailureCode.PROMPT_TOO_LARGE,
            Verdict.NOT_RUN,
            "prompt of ${metadata.promptTokens} and answer limit of ${metadata.answerTokens} tokens exceed the " +
                "largest endpoint of pool ${pool.name}, which holds $largest tokens",
        )
    } else {
        Failure(
            FailureCode.OVERLOADED,
            Verdict.NOT_RUN,
            "no endpoint of pool ${pool.name} has room for ${metadata.tokens} tokens",
            retryAfterMillis = PLACEMENT_RETRY_MILLIS,
        )
    }

private const val PLACEMENT_RETRY_MILLIS: Long = 1_000
