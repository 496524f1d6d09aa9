/** Gathers the outcomes of a load run into its report. */
package pistachiopass.standins.load

import org.HdrHistogram.Histogram

/** Adds up outcomes; safe for use by many threads. */
public class LoadStatistics(private val scenario: Scenario) {
    private val bands: Map<PromptBand, BandStatistics> = PromptBand.entries.associateWith { BandStatistics() }
    private val failures: MutableMap<String, Long> = sortedMapOf()
    private var ended: Long = 0
    private var answered: Long = 0
    private var bookings: Long = 0

    /** Adds one outcome. */
    public fun add(outcome: Outcome): Unit =
        synchronized(this) {
            ended++
            if (outcome.failure == null) answered++ else failures.merge(outcome.failure, 1, Long::plus)
            when {
                !outcome.arrival.isBooking ->
                    bands.getValue(promptBandOf(outcome.arrival.promptTokens)).add(outcome, scenario)
                outcome.failure == null -> bookings++
            }
        }

    /** Returns the report on all outcomes so far. */
    public fun report(): LoadTestReport =
        synchronized(this) {
            val reports = bands.map { (band, statistics) -> statistics.report(band) }
            LoadTestReport(
                scenario = scenario,
                requests = ended,
                answered = answered,
                inTime = reports.sumOf { it.inTime } + bookings,
                bands = reports,
                bookings = bookings,
                failures = failures.toMap(),
            )
        }
}

/** Adds up the outcomes of one band. */
private class BandStatistics {
    private val firstTokenMicros: Histogram = Histogram(SIGNIFICANT_DIGITS)
    private var requests: Long = 0
    private var answered: Long = 0
    private var inTime: Long = 0

    fun add(outcome: Outcome, scenario: Scenario) {
        requests++
        val millis = outcome.firstTokenMillis
        if (millis != null) firstTokenMicros.recordValue((millis * MICROS_PER_MILLI).toLong().coerceAtLeast(0))
        if (outcome.failure == null) {
            answered++
            if (millis != null && millis <= scenario.firstTokenMillis) inTime++
        }
    }

    fun report(band: PromptBand): BandReport =
        BandReport(
            band = band.text,
            requests = requests,
            answered = answered,
            inTime = inTime,
            p50Millis = percentileMillis(MEDIAN),
            p95Millis = percentileMillis(PERCENTILE_95),
            p99Millis = percentileMillis(PERCENTILE_99),
            maxMillis = firstTokenMicros.maxValue / MICROS_PER_MILLI,
        )

    private fun percentileMillis(percentile: Double): Double =
        firstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI
}

private const val SIGNIFICANT_DIGITS: Int = 3
private const val MICROS_PER_MILLI: Double = 1000.0
private const val MEDIAN: Double = 50.0
private const val PERCENTILE_95: Double = 95.0
private const val PERCENTILE_99: Double = 99.0
