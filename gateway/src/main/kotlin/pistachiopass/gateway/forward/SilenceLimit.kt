/**
 * Decides when an endpoint that has not begun its response counts as dead.
 *
 * In overload a request waits at its endpoint until a slot is free. To give it up then adds load: the endpoint was
 * sound, counts as failing and is left out, and the request runs again elsewhere. An endpoint that sends data on other
 * connections is alive, so its silence is counted from the last of these. Some failures make single requests hang;
 * therefore the wait has an upper limit.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.monotonicMillis
import pistachiopass.gateway.placement.FleetLoad

/**
 * Limits the wait for a response by the silence of the endpoint, [limitMillis], and by [waitMaxMillis] in all.
 *
 * [elapsedMillis] returns the time since the request was sent, and [lastResponseAgeMillis] the time since the endpoint
 * sent data on any connection of this instance, or null if it never has.
 */
internal class SilenceLimit(
    private val limitMillis: Long,
    private val waitMaxMillis: Long,
    private val elapsedMillis: () -> Long,
    private val lastResponseAgeMillis: () -> Long?,
) {
    /** Returns the time for which to wait on unless data arrive, or 0 if the endpoint counts as dead. */
    fun remainingMillis(): Long {
        val elapsed = elapsedMillis()
        val silent = minOf(elapsed, lastResponseAgeMillis() ?: elapsed)
        return minOf(limitMillis - silent, maxOf(waitMaxMillis, limitMillis) - elapsed).coerceAtLeast(0)
    }
}

/** Returns the limit for [attempt], whose request was sent when [progress] began. */
internal fun silenceLimitOf(attempt: EndpointAttempt, progress: AttemptProgress, load: FleetLoad): SilenceLimit =
    SilenceLimit(
        limitMillis = (attempt.assignment.forecastMillis * SILENCE_FACTOR).toLong() +
            maxOf(SILENCE_MIN_MILLIS, attempt.request.admitted.route.targetLatencyMillis),
        waitMaxMillis = attempt.request.remainingMillis() / SILENCE_WAIT_PARTS,
        elapsedMillis = progress::sentMillis,
        lastResponseAgeMillis = { load.at(attempt.incarnation).responseAgeMillisOrNull(monotonicMillis()) },
    )

/** Multiple of the forecast time to the first token in the time without data after which an endpoint counts as dead. */
private const val SILENCE_FACTOR: Double = 2.0
private const val SILENCE_MIN_MILLIS: Long = 500

/** Part of the remaining time after which a silent request is given up, so that time for another attempt is left. */
private const val SILENCE_WAIT_PARTS: Long = 3
