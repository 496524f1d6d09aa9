/**
 * Counts by route what became of requests, from the log lines of instances.
 *
 * Times are those of served requests. A percentile is the smallest time that at least so many percent of the requests
 * did not exceed. Memory grows with the number of different times, not with the number of requests.
 */
package pistachiopass.ctl

import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import kotlinx.serialization.Serializable
import pistachiopass.model.RouteName
import pistachiopass.model.Verdict
import java.util.TreeMap

/** Holds the times within which requests of [route] are to get their first event, and each event after it. */
@Serializable
internal data class LatencyTarget(val route: RouteName, val firstMillis: Long, val gapMillis: Long)

/** Returns the target that `ROUTE=FIRST,GAP` states in milliseconds, or null if [text] is malformed. */
internal fun latencyTargetOrNull(text: String): LatencyTarget? {
    val route = text.substringBeforeLast('=', "")
    val millis = text.substringAfterLast('=').split(',').map { it.toLongOrNull()?.takeIf { number -> number > 0 } }
    val (firstMillis, gapMillis) = millis.takeIf { it.size == 2 } ?: return null
    return if (route.isEmpty() || firstMillis == null || gapMillis == null) {
        null
    } else {
        LatencyTarget(RouteName(route), firstMillis, gapMillis)
    }
}

/** Holds percentiles in milliseconds, or null without a request, and how many exceeded the target if there is one. */
@Serializable
internal data class LatencySummary(val medianMillis: Long?, val percentile95Millis: Long?, val late: Long?)

/** Holds what became of the requests of [route]; it is null for those that were refused before they had one. */
@Serializable
internal data class RouteLosses(
    val route: RouteName?,
    val target: LatencyTarget?,
    val requests: Long,
    /** Number of responses with a status of 2xx. */
    val served: Long,
    /** Number of requests with more than one try. */
    val retried: Long,
    val firstEvent: LatencySummary,
    val longestGap: LatencySummary,
    /** Number of requests that certainly did not run, by code. */
    val refused: Map<String, Long>,
    /** Number of requests that ran or may have run, by code. */
    val failed: Map<String, Long>,
    /** Number of complete responses that are no success, by status. */
    val otherStatuses: Map<Int, Long>,
)

/** Holds the losses of all routes, and the number of unreadable lines by file. */
@Serializable
internal data class LossReport(val routes: List<RouteLosses>, val unreadableLines: Map<String, Long>)

/** Returns the report on the requests whose end is logged in [files]. */
internal fun lossReportOf(files: List<String>, targets: List<LatencyTarget>): LossReport {
    val counters = HashMap<RouteName?, RouteCounter>()
    val unreadable = LinkedHashMap<String, Long>()
    files.forEach { file ->
        readRequestLines(file) { line ->
            when {
                line == null -> unreadable.countOne(file)
                line.isFinished || line.isFailed -> counters.getOrPut(line.route, ::RouteCounter).count(line)
            }
        }
    }
    val targetByRoute = targets.associateBy { it.route }
    val losses = counters.map { (route, counter) -> counter.lossesOf(route, targetByRoute[route]) }
    return LossReport(losses.sortedBy { it.route?.value.orEmpty() }, unreadable)
}

private class RouteCounter {
    private var requests = 0L
    private var served = 0L
    private var retried = 0L
    private val firstMillis = TimeCounter()
    private val pauseMillis = TimeCounter()
    private val refused = TreeMap<String, Long>()
    private val failed = TreeMap<String, Long>()
    private val otherStatuses = TreeMap<Int, Long>()

    fun count(line: RequestLine) {
        requests++
        if ((line.tries ?: 0) > 1) retried++
        val status = line.status
        when {
            line.isFailed && line.verdict == Verdict.NOT_RUN.text -> refused.countOne(line.code.orEmpty())
            line.isFailed -> failed.countOne(line.code.orEmpty())
            status != null && HttpStatusCode.fromValue(status).isSuccess() -> countServed(line)
            status != null -> otherStatuses.countOne(status)
        }
    }

    fun lossesOf(route: RouteName?, target: LatencyTarget?): RouteLosses = RouteLosses(
        route,
        target,
        requests,
        served,
        retried,
        firstMillis.summaryOf(target?.firstMillis),
        pauseMillis.summaryOf(target?.gapMillis),
        refused,
        failed,
        otherStatuses,
    )

    private fun countServed(line: RequestLine) {
        served++
        line.firstMillis?.let(firstMillis::count)
        line.pauseMillis?.let(pauseMillis::count)
    }
}

private class TimeCounter {
    private val countByMillis = TreeMap<Long, Long>()

    /** Counts [millis] unless it is negative, which stands for an event that did not come. */
    fun count(millis: Long) {
        if (millis >= 0) countByMillis.countOne(millis)
    }

    fun summaryOf(targetMillis: Long?): LatencySummary = LatencySummary(
        percentileOrNull(MEDIAN_PERCENT),
        percentileOrNull(HIGH_PERCENT),
        targetMillis?.let { countByMillis.tailMap(it, false).values.sum() },
    )

    private fun percentileOrNull(percent: Int): Long? {
        val total = countByMillis.values.sum()
        var passed = 0L
        return countByMillis.entries.firstOrNull { (_, count) ->
            passed += count
            passed * PERCENT >= total * percent
        }?.key
    }
}

private fun <K> MutableMap<K, Long>.countOne(key: K) {
    merge(key, 1L, Long::plus)
}

private const val MEDIAN_PERCENT: Int = 50
private const val HIGH_PERCENT: Int = 95
private const val PERCENT: Int = 100
