/** Load reports and the short history of them that makes them late. */
package pistachiopass.standins.engine

import kotlinx.serialization.Serializable

/** Describes one request in a load report. */
@Serializable
internal data class ReportedRequest(val id: String, val tokens: Long, val state: String)

/** Describes the load of an engine as it was [ageMillis] ago. */
@Serializable
internal data class LoadReport(
    val endpoint: String,
    val startId: String,
    val cold: Boolean,
    val capacityTokens: Long,
    val usedTokens: Long,
    val slots: Int,
    val requests: List<ReportedRequest>,
    val models: List<String>,
    val adapters: List<String>,
    val role: String,
    val completedTokens: Long,
    val ageMillis: Long,
)

/** Keeps the reports of the last [lagMillis]; not safe for concurrent use. */
internal class LoadHistory(private val lagMillis: Long) {
    private val entries: ArrayDeque<PastReport> = ArrayDeque()

    /** Keeps the state that a change is about to replace; called before each change. */
    fun beforeChange(nowMillis: Long, report: () -> LoadReport) {
        while (entries.isNotEmpty() && entries.first().validUntilMillis < nowMillis - lagMillis) {
            entries.removeFirst()
        }
        val last = entries.lastOrNull()
        if (last == null || nowMillis - last.validUntilMillis >= lagMillis / HISTORY_ENTRIES) {
            entries.addLast(PastReport(nowMillis, report()))
        }
    }

    /** Returns the state of [lagMillis] ago, which is [current] when nothing has changed since. */
    fun delayed(nowMillis: Long, current: () -> LoadReport): LoadReport {
        val past = entries.firstOrNull { it.validUntilMillis > nowMillis - lagMillis }
        return past?.report?.copy(ageMillis = lagMillis) ?: current()
    }

    /** Forgets all past states, as an engine does that loses its memory. */
    fun clear() {
        entries.clear()
    }

    private class PastReport(val validUntilMillis: Long, val report: LoadReport)

    private companion object {
        const val HISTORY_ENTRIES = 8
    }
}
