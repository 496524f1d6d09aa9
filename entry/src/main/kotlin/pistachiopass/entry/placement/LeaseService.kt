/** The owner's side of leases: grants requests at once or queues them until the endpoint has free capacity. */
package pistachiopass.entry.placement

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.capacity.Capacity
import pistachiopass.capacity.InstanceIncarnation
import pistachiopass.capacity.LeaseRefusal
import pistachiopass.capacity.LeaseRelease
import pistachiopass.capacity.LeaseReply
import pistachiopass.capacity.LeaseRequest
import pistachiopass.capacity.LeaseTable
import pistachiopass.capacity.LocalClock
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.queue.AdmissionQueue
import pistachiopass.queue.WaitingRequest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Grants leases from [table]; each request passes through its endpoint's queue, so that none overtakes another. */
public class LeaseService(
    private val table: LeaseTable,
    private val clock: LocalClock,
    private val queueOf: (EndpointId) -> AdmissionQueue,
) {
    private val endpointQueues: ConcurrentHashMap<EndpointId, EndpointQueue> = ConcurrentHashMap()
    private val sequence: AtomicLong = AtomicLong()

    /** Returns a grant as soon as the endpoint has capacity, or a refusal when the request's wait time is over. */
    public suspend fun request(holder: InstanceIncarnation, request: LeaseRequest): LeaseReply {
        val refusal = table.refusalOrNull(request.endpoint, request.needed)
        if (refusal in FINAL_REFUSALS) return LeaseReply(refusal = refusal)
        val endpointQueue = endpointQueues.computeIfAbsent(request.endpoint) { EndpointQueue(it, queueOf(it)) }
        val pending = PendingRequest(holder, request)
        endpointQueue.add(pending)
        val reply = withTimeoutOrNull(request.waitMillis) { pending.reply.await() }
        return reply ?: endpointQueue.refuseAfterTimeout(pending)
    }

    /** Ends a lease and grants the queued requests that fit then. */
    public fun release(release: LeaseRelease) {
        table.release(release)
        endpointQueues[release.endpoint]?.onLeaseEnded(release.lease)
        drain()
    }

    /** Grants the queued requests that fit now; called whenever capacity may have become free. */
    public fun drain(): Unit = endpointQueues.values.forEach { it.drain() }

    private inner class PendingRequest(val holder: InstanceIncarnation, val request: LeaseRequest) {
        val reply: CompletableDeferred<LeaseReply> = CompletableDeferred()
        val waiting: WaitingRequest = clock.nowMillis().let { now ->
            WaitingRequest(
                id = RequestId("${holder.instance}-${sequence.incrementAndGet()}"),
                workspace = request.workspace,
                promptTokens = request.promptTokens.coerceAtMost(request.needed.tokens),
                tokens = request.needed.tokens,
                enqueuedAtMillis = now,
                waitUntilMillis = now + request.waitMillis.coerceAtLeast(MIN_QUEUE_TIME_MILLIS),
                firstTokenByMillis = now + request.remainingMillis,
            )
        }
    }

    private inner class EndpointQueue(private val endpoint: EndpointId, private val queue: AdmissionQueue) {
        private val pendingById: HashMap<RequestId, PendingRequest> = HashMap()
        private val queueIdsByLease: LinkedHashMap<RequestId, RequestId> = LinkedHashMap()

        @Synchronized
        fun add(pending: PendingRequest) {
            val refusal = queue.offer(pending.waiting)
            if (refusal != null) {
                pending.reply.complete(LeaseReply(refusal = LeaseRefusal.QUEUE))
            } else {
                pendingById[pending.waiting.id] = pending
                drain()
            }
        }

        @Synchronized
        fun drain() {
            generateSequence { queue.takeNext(::fits) }.forEach { next -> pendingById.remove(next.id)?.let(::grant) }
            val refusal = table.refusalOrNull(endpoint, Capacity.NONE)
            if (refusal in FINAL_REFUSALS) pendingById.values.toList().forEach { refuse(it, refusal) }
        }

        @Synchronized
        @OptIn(ExperimentalCoroutinesApi::class)
        fun refuseAfterTimeout(pending: PendingRequest): LeaseReply {
            refuse(pending, table.refusalOrNull(endpoint, pending.request.needed) ?: LeaseRefusal.QUEUE)
            return pending.reply.getCompleted()
        }

        @Synchronized
        fun onLeaseEnded(lease: RequestId) {
            queueIdsByLease.remove(lease)?.let(queue::onEnded)
        }

        private fun grant(pending: PendingRequest) {
            val reply = table.request(pending.holder, pending.request)
            reply.grant?.let { queueIdsByLease[it.lease] = pending.waiting.id }
            if (queueIdsByLease.size > MAX_TRACKED_GRANTS) onLeaseEnded(queueIdsByLease.keys.first())
            pending.reply.complete(reply)
        }

        private fun refuse(pending: PendingRequest, reason: LeaseRefusal?) {
            queue.remove(pending.waiting.id)
            pendingById.remove(pending.waiting.id)
            pending.reply.complete(LeaseReply(refusal = reason))
        }

        private fun fits(waiting: WaitingRequest): Boolean {
            val request = pendingById[waiting.id]?.request ?: return true
            return table.refusalOrNull(endpoint, request.needed) == null
        }
    }
}

/** The refusals that waiting cannot change. */
private val FINAL_REFUSALS: Set<LeaseRefusal> =
    setOf(LeaseRefusal.NOT_OWNER, LeaseRefusal.CLOSED, LeaseRefusal.TOO_LARGE)

/** Minimum wait that the queue assumes; a request with a shorter wait is removed from the queue before that. */
private const val MIN_QUEUE_TIME_MILLIS: Long = 1_000

/** Granted requests that are tracked per endpoint until they end; above this number the oldest counts as ended. */
private const val MAX_TRACKED_GRANTS: Int = 4_096
