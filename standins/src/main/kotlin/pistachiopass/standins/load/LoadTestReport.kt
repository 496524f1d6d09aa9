/** The result of a load run, as it is written to a file. */
package pistachiopass.standins.load

import kotlinx.serialization.Serializable

/** Reports one band of prompt length; the times are to the first token. */
@Serializable
public data class BandReport(
    val band: String,
    val requests: Long,
    val answered: Long,
    val inTime: Long,
    val p50Millis: Double,
    val p95Millis: Double,
    val p99Millis: Double,
    val maxMillis: Double,
) {
    /** Share of the requests whose first token came in time. */
    val inTimeShare: Double get() = if (requests == 0L) 1.0 else inTime.toDouble() / requests
}

/** Reports a whole run. */
@Serializable
public data class LoadTestReport(
    val scenario: Scenario,
    val requests: Long,
    val answered: Long,
    /** Whole answers whose first token came in time, and bookings answered before the timeout. */
    val inTime: Long,
    val bands: List<BandReport>,
    /** Bookings that were made and answered. */
    val bookings: Long,
    /** Number of failures by status, verdict and cause. */
    val failures: Map<String, Long>,
)
