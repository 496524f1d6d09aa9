/** Allocation by leases, which the owner of an endpoint grants out of the capacity shares pledged to it. */
package pistachiopass.entry.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import pistachiopass.capacity.Capacity
import pistachiopass.capacity.HeldLease
import pistachiopass.capacity.LeaseEnd
import pistachiopass.capacity.LeaseRefusal
import pistachiopass.capacity.LeaseRequest
import pistachiopass.entry.endpoint.EndpointBreaker
import pistachiopass.entry.http.Target
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.InstanceId
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.RequestId
import pistachiopass.routing.CandidateReason
import pistachiopass.routing.Choice
import pistachiopass.routing.EndpointChooser
import pistachiopass.routing.EndpointLoad
import pistachiopass.routing.FleetView
import pistachiopass.routing.RequestMetadata
import java.util.concurrent.atomic.AtomicBoolean

/** Requests leases from the owners of a few candidate endpoints, those in the same data centre first. */
public class LeaseAllocator(
    private val chooser: EndpointChooser,
    private val capacity: CapacityController,
    private val dataCentresOut: () -> Set<DataCentreId>,
    private val breaker: EndpointBreaker,
    private val scope: CoroutineScope,
    private val log: EventLog = EventLog,
) : CapacityAllocator {
    private val dataCentre: DataCentreId = capacity.state.dataCentre

    override suspend fun allocate(
        requestId: RequestId,
        metadata: RequestMetadata,
        target: Target,
    ): Result<Allocation, Failure> {
        val search = Search(requestId, metadata, target)
        val lease = search.immediateLeaseOrNull() ?: search.queuedLeaseOrNull()
        return lease?.let { Ok(LeasedAllocation(it.first, it.second)) } ?: Err(search.refusal())
    }

    /** The search for one request; an endpoint that was refused is skipped until the final wait in a queue. */
    private inner class Search(
        private val requestId: RequestId,
        private val metadata: RequestMetadata,
        private val target: Target,
    ) {
        private val refused: HashSet<EndpointId> = HashSet()
        private var lastRefusal: LeaseRefusal? = null
        private val initialChoice: Choice = choose(target.pool.endpoints)

        suspend fun immediateLeaseOrNull(): Pair<Endpoint, HeldLease>? {
            val (local, remote) = target.pool.endpoints.partition { it.dataCentre == dataCentre }
            return tryEach(local, LOCAL_ATTEMPTS) ?: tryEach(remote, REMOTE_ATTEMPTS)
        }

        /**
         * Queues the request at the owner of the first endpoint that could hold it at some time; continues with the
         * next owner when that one no longer answers for the endpoint.
         */
        suspend fun queuedLeaseOrNull(): Pair<Endpoint, HeldLease>? {
            var lease: Pair<Endpoint, HeldLease>? = null
            var endpoint = endpointToWaitForOrNull()
            while (lease == null && endpoint != null && remainingMillis() > SEND_RESERVE_MILLIS) {
                lease = requestLease(endpoint, remainingMillis() - SEND_RESERVE_MILLIS)
                if (lease == null) delay(LEASE_RETRY_DELAY_MILLIS)
                endpoint = endpointToWaitForOrNull().takeIf { lastRefusal != LeaseRefusal.QUEUE }
            }
            return lease
        }

        private fun endpointToWaitForOrNull(): Endpoint? {
            refused.clear()
            val candidate = choose(target.pool.endpoints).candidates.firstOrNull { it.reason in TEMPORARY_REASONS }
            return target.pool.endpoints.firstOrNull { it.id == candidate?.endpoint }
        }

        fun refusal(): Failure {
            log.log(
                Event.PLACEMENT_REFUSED,
                requestId,
                field("pool", target.pool.name),
                field("tokens", metadata.tokens)
            )
            return placementFailure(initialChoice, metadata, target.pool)
        }

        private suspend fun tryEach(endpoints: List<Endpoint>, attempts: Int): Pair<Endpoint, HeldLease>? {
            var lease: Pair<Endpoint, HeldLease>? = null
            var attempt = 0
            while (lease == null && attempt++ < attempts) {
                val endpoint = choose(endpoints).endpoint ?: break
                lease = requestLease(endpoint, waitMillis = 0)
                if (lease == null) refused += endpoint.id
            }
            return lease
        }

        private suspend fun requestLease(endpoint: Endpoint, waitMillis: Long): Pair<Endpoint, HeldLease>? {
            val owner = capacity.state.grantorOrNull(endpoint.id) ?: return null
            val request = LeaseRequest(
                requestId = requestId,
                endpoint = endpoint.id,
                needed = Capacity(if (target.pool.kind == PoolKind.MODEL) metadata.tokens else 0, slots = 1),
                workspace = metadata.workspace,
                promptTokens = metadata.promptTokens,
                remainingMillis = remainingMillis(),
                waitMillis = waitMillis,
            )
            val outcome = capacity.leases.requestLease(owner, request)
            lastRefusal = outcome.getError()
            return outcome.get()?.let { lease ->
                logChoice(endpoint, owner)
                endpoint to lease
            }
        }

        private fun logChoice(endpoint: Endpoint, owner: InstanceId): Unit = log.log(
            Event.ENDPOINT_CHOSEN,
            requestId,
            field("endpoint", endpoint.id),
            field("pool", target.pool.name),
            field("owner", owner),
        )

        private fun choose(endpoints: List<Endpoint>): Choice {
            val pool: Pool = target.pool.copy(endpoints = endpoints)
            val loads = endpoints.associate { it.id to loadOf(it) }
            return chooser.choose(metadata, pool, FleetView(dataCentre, dataCentresOut(), loads))
        }

        private fun loadOf(endpoint: Endpoint): EndpointLoad {
            val summary = capacity.state.summaryOrNull(endpoint.id)
            return EndpointLoad(
                cold = summary?.cold ?: (endpoint.dataCentre == dataCentre),
                reachable = summary?.silent != true && endpoint.id !in refused && !breaker.isOpen(endpoint.id),
                heldTokens = summary?.held?.tokens ?: 0,
                heldSlots = summary?.held?.slots ?: 0,
            )
        }

        private fun remainingMillis(): Long = -target.deadline.elapsedNow().inWholeMilliseconds
    }

    private inner class LeasedAllocation(override val endpoint: Endpoint, private val lease: HeldLease) : Allocation {
        private val released: AtomicBoolean = AtomicBoolean()

        override val leaseId: RequestId get() = lease.id

        override fun isValid(): Boolean = lease.maySend()

        override suspend fun release(holdsNothing: Boolean): Unit =
            release(if (holdsNothing) LeaseEnd.COMPLETED else LeaseEnd.UNCONFIRMED)

        override suspend fun release(end: LeaseEnd) {
            if (released.compareAndSet(false, true)) capacity.leases.release(scope, lease, end)
        }
    }
}

/** The reasons that do not rule out an endpoint for good. */
private val TEMPORARY_REASONS: Set<CandidateReason> =
    setOf(CandidateReason.CHOSEN, CandidateReason.ELIGIBLE, CandidateReason.FULL, CandidateReason.COLD_FULL)

private const val LOCAL_ATTEMPTS: Int = 2
private const val REMOTE_ATTEMPTS: Int = 1

/** Delay before the next lease request after one that was not granted. */
private const val LEASE_RETRY_DELAY_MILLIS: Long = 200

/** Part of a request's time that is reserved for sending it. */
private const val SEND_RESERVE_MILLIS: Long = 500
