/**
 * Reservations of memory for prompts that one engine cannot hold.
 *
 * A reservation is held for a bounded time and released as soon as its request is over. An order without an answer may
 * be carried out seconds later, so it is released again until it cannot be carried out any more.
 */
package pistachiopass.gateway.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.gateway.EndpointOrders
import pistachiopass.gateway.OrderOutcome
import pistachiopass.gateway.placement.Place
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.model.RequestId

/** Makes and ends reservations; releases run in [scope], beyond the request. */
internal class Reservations(
    private val orders: EndpointOrders,
    private val holdMaxMillis: Long,
    private val scope: CoroutineScope,
) {
    private var sequence = 0L

    /** Returns the id under which memory is reserved at all engines of [place], or null if it is not to be had. */
    suspend fun reserveOrNull(request: RequestId, place: Place, leftMillis: Long): String? {
        val id = "${request.value}-${sequence++}"
        val holdMillis = minOf(holdMaxMillis, leftMillis, HOLD_MILLIS)
        val outcomes = coroutineScope {
            enginesOf(place)
                .map { engine -> async { orders.reserve(engine.published.address, id, place.reservedTokens, holdMillis) } }
                .awaitAll()
        }
        if (outcomes.all { it == OrderOutcome.DONE }) return id
        release(place, id)
        return null
    }

    /** Ends the reservation [id] at all engines of [place]. */
    fun release(place: Place, id: String) {
        enginesOf(place).forEach { engine -> scope.launch { release(engine, id) } }
    }

    private suspend fun release(engine: KnownEndpoint, id: String) {
        repeat(RELEASE_TRIES) {
            if (orders.release(engine.published.address, id) != OrderOutcome.UNKNOWN) return
            delay(RELEASE_PAUSE_MILLIS)
        }
    }

    private fun enginesOf(place: Place): List<KnownEndpoint> = listOf(place.endpoint) + place.helpers
}

/** Longest time for which memory is reserved: reading and writing of the longest prompts, with room. */
private const val HOLD_MILLIS: Long = 8_000

/** An unanswered order may be carried out up to about ten seconds later. */
private const val RELEASE_TRIES: Int = 6
private const val RELEASE_PAUSE_MILLIS: Long = 2_000
