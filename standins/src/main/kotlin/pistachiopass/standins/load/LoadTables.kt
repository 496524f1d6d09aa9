/** Text tables of load reports for a terminal. */
package pistachiopass.standins.load

import java.util.Locale

/** Returns the report as a table with one line for each band. */
public fun LoadTestReport.table(): String =
    buildString {
        appendRow(listOf("band", "requests", "answered", "in time %", "p50 ms", "p95 ms", "p99 ms", "max ms"))
        bands.forEach {
            val times = listOf(it.inTimePercent, it.p50Millis, it.p95Millis, it.p99Millis, it.maxMillis)
            appendRow(listOf(it.band, it.requests, it.answered) + times)
        }
        appendLine("requests $requests, answered $answered, in time $inTime, bookings $bookings")
        failures.forEach { (cause, count) -> appendLine("failed $count: $cause") }
    }

/** Returns a table that sets this report and [other] side by side. */
public fun LoadTestReport.compare(other: LoadTestReport): String =
    buildString {
        appendRow(listOf("band", "p50 ms", "then", "p95 ms", "then", "in time %", "then"))
        bands.zip(other.bands).forEach { (a, b) ->
            val medians = listOf(a.p50Millis, b.p50Millis)
            val tails = listOf(a.p95Millis, b.p95Millis)
            val shares = listOf(a.inTimePercent, b.inTimePercent)
            appendRow(listOf(a.band) + medians + tails + shares)
        }
        appendLine("answered $answered of $requests, then ${other.answered} of ${other.requests}")
    }

private val BandReport.inTimePercent: Double get() = inTimeShare * PERCENT

private fun StringBuilder.appendRow(cells: List<Any>) {
    appendLine(cells.joinToString(" ") { cellOf(it).padStart(CELL_CHARACTERS) })
}

private fun cellOf(value: Any): String =
    if (value is Double) String.format(Locale.ROOT, "%.1f", value) else value.toString()

private const val PERCENT: Int = 100
private const val CELL_CHARACTERS: Int = 10
