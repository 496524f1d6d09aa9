/**
 * Reservations of memory for prompts that one engine cannot hold.
 *
 * A reservation is held for a short time and renewed while its request lasts, so that one whose instance died ends by
 * itself soon. It is released as soon as the request is over. An order without an answer may be carried out seconds
 * later, even a renewal after the release; such a reservation is released again until no order can be under way.
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
import pistachiopass.model.RequestId

/** Makes, renews and ends reservations; renewals and releases run in [scope], beyond the request. */
internal class Reservations(
    private val orders: EndpointOrders,
    private val holdMillis: Long,
    private val scope: CoroutineScope,
) {
    private var sequence = 0L

    /** Returns a reservation at all engines of [assignment], or null if the memory is not to be had. */
    suspend fun reserveOrNull(request: RequestId, assignment: Assignment): Reservation? {
        val engines = (listOf(assignment.endpoint) + assignment.helpers).map { it.published.address }
        val reservation = Reservation("${request.value}-${sequence++}", engines, assignment.reservedTokens)
        val outcomes = try {
            coroutineScope { engines.map { async { reservation.reserveAt(it) } }.awaitAll() }
        } catch (e: CancellationException) {
            reservation.release()
            throw e
        }
        if (outcomes.all { it == OrderOutcome.DONE }) return reservation.also { it.startRenewals() }
        reservation.release()
        return null
    }

    /** Memory of [tokens] that is set aside at each of [engines] under [id]. */
    inner class Reservation(val id: String, private val engines: List<Address>, private val tokens: Long) {
        private val unanswered = HashSet<Address>()
        private var renewals: Job? = null

        /** Asks [engine] for the memory, or for more time. */
        suspend fun reserveAt(engine: Address): OrderOutcome {
            unanswered += engine
            val outcome = orders.reserve(engine, id, tokens, holdMillis)
            if (outcome != OrderOutcome.UNKNOWN) unanswered -= engine
            return outcome
        }

        /** Renews the reservation until its release. */
        fun startRenewals() {
            renewals = scope.launch {
                while (true) {
                    delay(holdMillis / RENEWALS_PER_HOLD)
                    engines.forEach { engine -> launch { reserveAt(engine) } }
                }
            }
        }

        /** Ends the reservation at all engines. */
        fun release() {
            renewals?.cancel()
            engines.forEach { engine -> scope.launch { releaseAt(engine, mayBePending = engine in unanswered) } }
        }

        private suspend fun releaseAt(engine: Address, mayBePending: Boolean) {
            var isDone = false
            repeat(RELEASE_TRIES) {
                isDone = orders.release(engine, id) != OrderOutcome.UNKNOWN || isDone
                if (isDone && !mayBePending) return
                delay(RELEASE_PAUSE_MILLIS)
            }
        }
    }
}

/** Returns the time for which a reservation is held at once, so that it ends within [freeMillis] of a renewal. */
internal fun holdMillisOf(freeMillis: Double, holdMaxMillis: Double): Long =
    minOf(freeMillis * HOLD_FRACTION, holdMaxMillis).toLong()

private const val HOLD_FRACTION: Double = 0.8
private const val RENEWALS_PER_HOLD: Long = 3

/** An unanswered order may be carried out up to twelve seconds later. */
private const val RELEASE_TRIES: Int = 14
private const val RELEASE_PAUSE_MILLIS: Long = 1_000
