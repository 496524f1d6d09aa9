/** What became of one request of a load run. */
package pistachiopass.standins.load

/** Holds the times of one request, counted from its intended send time, and its failure, if any. */
public data class Outcome(
    val arrival: Arrival,
    val firstTokenMillis: Double? = null,
    val endMillis: Double,
    /** Status, verdict and cause of a failure; null for a whole answer. */
    val failure: String? = null,
)
