/** An engine of the simulation: it holds requests, reports them with a delay, and loses them on a restart. */
package pistachiopass.capacity

import pistachiopass.model.Endpoint
import pistachiopass.model.RequestId
import pistachiopass.model.StartId

/** A request on the engine; [reserved] is the capacity that it may come to hold. */
internal class EngineRequest(
    val reserved: Capacity,
    val heldTokens: Long,
    val endsAtMillis: Long,
    val sentAtMillis: Long,
)

internal class SimulatedEngine(val endpoint: Endpoint) {
    private val past = ArrayDeque<Pair<Long, EndpointReport>>()
    private var starts = 0
    private var completedTokens = 0L
    val requests = LinkedHashMap<RequestId, EngineRequest>()
    var coldSinceMillis: Long? = 0
        private set

    var withholdsReports = false

    fun restart(nowMillis: Long) {
        requests.clear()
        starts++
        completedTokens = 0
        coldSinceMillis = nowMillis
    }

    fun step(nowMillis: Long) {
        val ended = requests.filterValues { it.endsAtMillis <= nowMillis }
        requests.keys.removeAll(ended.keys)
        completedTokens += ended.values.sumOf { it.heldTokens }
        if (completedTokens >= WARM_AFTER_TOKENS) coldSinceMillis = null
        past.addLast(nowMillis to report(nowMillis))
        while (past.size > REPORT_LAG_MILLIS / TICK_MILLIS + 1) past.removeFirst()
    }

    /** Returns a report that is [REPORT_LAG_MILLIS] old, and its age, or null if there is none. */
    fun delayedReportOrNull(nowMillis: Long): Pair<Long, EndpointReport>? =
        past.firstOrNull()?.takeUnless { withholdsReports }?.let { (takenAt, report) -> nowMillis - takenAt to report }

    private fun report(nowMillis: Long) = EndpointReport(
        StartId("engine-$starts"),
        cold = coldSinceMillis != null,
        usedTokens = requests.values.sumOf { it.heldTokens },
        completedTokens,
        requests.map { (id, request) -> HeldRequest(id, request.heldTokens) },
        nowMillis,
    )
}

internal const val TICK_MILLIS = 50L
internal const val REPORT_LAG_MILLIS = 200L
private const val WARM_AFTER_TOKENS = 10_000L
