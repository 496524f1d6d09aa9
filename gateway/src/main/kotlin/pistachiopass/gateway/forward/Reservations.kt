/**
 * Memory reservations for prompts that one engine cannot hold.
 *
 * A reservation expires after a short time and is renewed while its request lasts, so it ends soon if the instance
 * dies. It is released as soon as the request has ended. A call that got no response may take effect seconds later, for
 * example a renewal after the release. The release of such a reservation is repeated until no call can be pending.
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

/** Makes reservations; their renewals and releases run in [scope], since they may outlive the request. */
internal class Reservations(
    private val orders: EndpointOrders,
    private val holdMillis: Long,
    private val scope: CoroutineScope,
) {
    private var sequence = 0L

    /** Reserves memory at all engines of [assignment]; returns null if any of them does not grant it. */
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

    /** Memory for [tokens] that is reserved at each of [engines] under [id]. */
    inner class Reservation(val id: String, private val engines: List<Address>, private val tokens: Long) {
        private val unanswered = HashSet<Address>()
        private var renewals: Job? = null

        /** Makes the reservation at [engine] or renews it. */
        suspend fun reserveAt(engine: Address): OrderOutcome {
            unanswered += engine
            val outcome = orders.reserve(engine, id, tokens, holdMillis)
            if (outcome != OrderOutcome.UNKNOWN) unanswered -= engine
            return outcome
        }

        /** Renews the reservation periodically until its release. */
        fun startRenewals() {
            renewals = scope.launch {
                while (true) {
                    delay(holdMillis / RENEWALS_PER_HOLD)
                    engines.forEach { engine -> launch { reserveAt(engine) } }
                }
            }
        }

        /** Stops the renewals and releases the reservation at all engines. */
        fun release() {
            renewals?.cancel()
            engines.forEach { engine -> scope.launch { releaseAt(engine, mayBePending = engine in unanswered) } }
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
