/** The owner's side of lease requests: grants at once or holds a request in the queue of its endpoint. */
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

/** Serves lease requests out of [table]; every request passes the queue of its endpoint, so that none overtakes. */
public class OwnerDesk(
    private val table: LeaseTable,
    private val clock: LocalClock,
    private val queueOf: (EndpointId) -> AdmissionQueue,
) {
    private val lines: ConcurrentHashMap<EndpointId, Line> = ConcurrentHashMap()
    private val sequence: AtomicLong = AtomicLong()

    /** Returns a grant as soon as there is one, or a refusal after the request's wait at the latest. */
    public suspend fun request(holder: InstanceIncarnation, request: LeaseRequest): LeaseReply {
        val refusal = table.refusalOrNull(request.endpoint, request.needed)
        if (refusal in FINAL_REFUSALS) return LeaseReply(refusal = refusal)
        val line = lines.computeIfAbsent(request.endpoint) { Line(it, queueOf(it)) }
        val entry = Entry(holder, request)
        line.add(entry)
        val reply = withTimeoutOrNull(request.waitMillis) { entry.reply.await() }
        return reply ?: line.giveUp(entry)
    }

    /** Takes a lease back and grants what fits then. */
    public fun release(release: LeaseRelease) {
        table.release(release)
        lines[release.endpoint]?.ended(release.lease)
        drain()
    }

    /** Grants what fits now; called whenever room may have become free. */
    public fun drain(): Unit = lines.values.forEach { it.drain() }

    private inner class Entry(val holder: InstanceIncarnation, val request: LeaseRequest) {
        val reply: CompletableDeferred<LeaseReply> = CompletableDeferred()
        val waiting: WaitingRequest = clock.nowMillis().let { now ->
            WaitingRequest(
                id = RequestId("${holder.instance}-${sequence.incrementAndGet()}"),
                workspace = request.workspace,
                promptTokens = request.promptTokens.coerceAtMost(request.needed.tokens),
                tokens = request.needed.tokens,
                enqueuedAtMillis = now,
                waitUntilMillis = now + request.waitMillis.coerceAtLeast(SHORTEST_WAIT_MILLIS),
                firstTokenByMillis = now + request.remainingMillis,
            )
        }
    }

    private inner class Line(private val endpoint: EndpointId, private val queue: AdmissionQueue) {
        private val entries: HashMap<RequestId, Entry> = HashMap()
        private val taken: LinkedHashMap<RequestId, RequestId> = LinkedHashMap()

        @Synchronized
        fun add(entry: Entry) {
            val refusal = queue.offer(entry.waiting)
            if (refusal != null) {
                entry.reply.complete(LeaseReply(refusal = LeaseRefusal.QUEUE))
            } else {
                entries[entry.waiting.id] = entry
                drain()
            }
        }

        @Synchronized
        fun drain() {
            generateSequence { queue.takeNext(::fits) }.forEach { next -> entries.remove(next.id)?.let(::grant) }
            val refusal = table.refusalOrNull(endpoint, Capacity.NONE)
            if (refusal in FINAL_REFUSALS) entries.values.toList().forEach { refuse(it, refusal) }
        }

        @Synchronized
        @OptIn(ExperimentalCoroutinesApi::class)
        fun giveUp(entry: Entry): LeaseReply {
            refuse(entry, table.refusalOrNull(endpoint, entry.request.needed) ?: LeaseRefusal.QUEUE)
            return entry.reply.getCompleted()
        }

        @Synchronized
        fun ended(lease: RequestId) {
            taken.remove(lease)?.let(queue::onEnded)
        }

        private fun grant(entry: Entry) {
            val reply = table.request(entry.holder, entry.request)
            reply.grant?.let { taken[it.lease] = entry.waiting.id }
            if (taken.size > TAKEN_LIMIT) ended(taken.keys.first())
            entry.reply.complete(reply)
        }

        private fun refuse(entry: Entry, reason: LeaseRefusal?) {
            queue.remove(entry.waiting.id)
            entries.remove(entry.waiting.id)
            entry.reply.complete(LeaseReply(refusal = reason))
        }

        private fun fits(waiting: WaitingRequest): Boolean {
            val request = entries[waiting.id]?.request ?: return true
            return table.refusalOrNull(endpoint, request.needed) == null
        }
    }
}

/** Refusals that waiting does not change. */
private val FINAL_REFUSALS: Set<LeaseRefusal> =
    setOf(LeaseRefusal.NOT_OWNER, LeaseRefusal.CLOSED, LeaseRefusal.TOO_LARGE)

/** Time in the queue of a request that wants an answer at once; it leaves the queue before. */
private const val SHORTEST_WAIT_MILLIS: Long = 1_000

/** Granted requests of an endpoint whose end the queue is told of. */
private const val TAKEN_LIMIT: Int = 4_096
