/**
 * Memory reservations for prompts that one engine cannot hold.
 *
 * A reservation expires after a short time and is renewed while its request lasts, so it ends soon if the instance
 * dies. It is released as soon as the request has ended. A call that got no response may take effect seconds later, for
 * example a renewal after the release. The release of such a reservation is repeated until no call can be pending.
 *
 * An engine that does not grant a reservation is replaced by the next spare one of the assignment, and the others keep
 * theirs: to release all and to start over would waste a reservation at each engine that granted one.
 */
package pistachiopass.gateway.forward

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.gateway.EndpointOrders
import pistachiopass.gateway.OrderOutcome
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.WorkEstimate
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.model.RequestId

/** Receives at which engines memory for a request is asked for and reserved. */
internal interface ReservationObserver {
    /** Records that [engine] is asked to reserve memory for the work of [estimate]. */
    fun onAsked(engine: KnownEndpoint, estimate: WorkEstimate)

    /** Records that [engine] has reserved the memory. */
    fun onGranted(engine: KnownEndpoint, estimate: WorkEstimate)

    /** Records that [engine] has not reserved the memory. */
    fun onNotGranted(engine: KnownEndpoint, estimate: WorkEstimate)

    /** Records the [outcome] once all engines have answered, or the request has ended before. */
    fun onEnded(outcome: ReservingOutcome)
}

/** How many engines were asked for memory for a request, and how they answered. */
internal data class ReservingOutcome(
    val isGranted: Boolean,
    val asked: Int,
    /** Engines that refused the memory or would have had to wait for it. */
    val refused: Int,
    val unanswered: Int,
    /** Engines in whose place another one was asked. */
    val replaced: Int,
    /** Time from the first order to the last answer. */
    val totalMillis: Long,
)

/**
 * Makes reservations; their renewals and releases run in [scope], since they may outlive the request. [nowMillis] is a
 * monotonic clock.
 */
internal class Reservations(
    private val orders: EndpointOrders,
    private val holdMillis: () -> Long,
    private val scope: CoroutineScope,
    private val nowMillis: () -> Long,
) {
    private var sequence = 0L

    /**
     * Reserves memory at all engines of [assignment], or at spare ones in the place of those that do not grant it.
     * Returns null if there are too few spare ones, or if one is still needed after [allowedMillis].
     */
    suspend fun reserveOrNull(
        request: RequestId,
        assignment: Assignment,
        allowedMillis: Long,
        observer: ReservationObserver,
    ): Reservation? {
        val reservation = Reservation("${request.value}-${sequence++}", assignment)
        val startedMillis = nowMillis()
        var isGranted = false
        try {
            isGranted = reservation.reserveAll(startedMillis + allowedMillis, observer)
        } catch (e: CancellationException) {
            reservation.release()
            throw e
        } finally {
            observer.onEnded(reservation.outcomeOf(isGranted, nowMillis() - startedMillis))
        }
        if (isGranted) return reservation.also { it.startRenewals() }
        reservation.release()
        return null
    }

    /** Memory that is reserved under [id] at as many engines as [requested] has. */
    inner class Reservation(val id: String, private val requested: Assignment) {
        private val engines = requested.engines.toMutableList()
        private val spares = ArrayDeque(requested.spares)

        /** An entry for each call that got no response; a later call that got one does not mean that it has ended. */
        private val unanswered = ArrayList<Address>()
        private var renewals: Job? = null
        private var asked = 0
        private var refused = 0
        private var unansweredOrders = 0

        /** The assignment, with the engines at which the memory is reserved. */
        val assignment: Assignment get() = requested.withEngines(engines)

        /** Makes the reservation at all engines, and returns whether as many as requested granted it. */
        suspend fun reserveAll(deadlineMillis: Long, observer: ReservationObserver): Boolean = coroutineScope {
            engines.indices.map { async { reserveOne(it, deadlineMillis, observer) } }.awaitAll().all { it }
        }

        /** Returns the outcome of [reserveAll], which took [totalMillis]. */
        fun outcomeOf(isGranted: Boolean, totalMillis: Long): ReservingOutcome =
            ReservingOutcome(isGranted, asked, refused, unansweredOrders, asked - engines.size, totalMillis)

        private suspend fun reserveOne(index: Int, deadlineMillis: Long, observer: ReservationObserver): Boolean {
            while (true) {
                val engine = engines[index]
                val estimate = requested.estimateAt(index, engine)
                asked++
                observer.onAsked(engine, estimate)
                val outcome = reserveAt(engine.published.address)
                if (outcome == OrderOutcome.DONE) {
                    observer.onGranted(engine, estimate)
                    return true
                }
                if (outcome == OrderOutcome.UNKNOWN) unansweredOrders++ else refused++
                observer.onNotGranted(engine, estimate)
                // The reservation as a whole fails without an engine for this position: the others need no spare one.
                if (nowMillis() >= deadlineMillis) spares.clear()
                engines[index] = spares.removeFirstOrNull()?.endpoint ?: return false
                startRelease(engine)
            }
        }

        private suspend fun reserveAt(engine: Address): OrderOutcome {
            unanswered += engine
            val outcome = orders.reserve(engine, id, requested.reservedTokens, holdMillis())
            if (outcome != OrderOutcome.UNKNOWN) unanswered -= engine
            return outcome
        }

        /** Renews the reservation periodically until its release. */
        fun startRenewals() {
            renewals = scope.launch {
                while (true) {
                    delay(holdMillis() / RENEWALS_PER_HOLD)
                    engines.forEach { engine -> launch { reserveAt(engine.published.address) } }
                }
            }
        }

        /** Stops the renewals and releases the reservation at all engines. */
        fun release() {
            renewals?.cancel()
            engines.forEach(::startRelease)
        }

        private fun startRelease(engine: KnownEndpoint) {
            val address = engine.published.address
            val mayBePending = address in unanswered
            scope.launch { releaseAt(address, mayBePending) }
        }

        private suspend fun releaseAt(engine: Address, mayBePending: Boolean) {
            var isDone = false
            repeat(RELEASE_ATTEMPTS_MAX) {
                isDone = orders.release(engine, id) != OrderOutcome.UNKNOWN || isDone
                if (isDone && !mayBePending) return
                delay(RELEASE_RETRY_DELAY_MILLIS)
            }
        }
    }
}

/**
 * Returns for how long a reservation is made or renewed: at most [holdMaxMillis], and less than [freeMillis], the time
 * after the end of a request within which its memory must be free.
 */
internal fun holdMillisOf(freeMillis: Double, holdMaxMillis: Double): Long =
    minOf(freeMillis * HOLD_FRACTION, holdMaxMillis).toLong()

private const val HOLD_FRACTION: Double = 0.8
private const val RENEWALS_PER_HOLD: Long = 3

/** Releases of a reservation with a call that may be pending, one per second: it may take effect 12 s later. */
private const val RELEASE_ATTEMPTS_MAX: Int = 14
private const val RELEASE_RETRY_DELAY_MILLIS: Long = 1_000
