/** One request of a load run as it was planned. */
package pistachiopass.standins.load

/** One planned request; [promptTokens] is 0 for a booking. */
public data class Arrival(
    val number: Int,
    val atMillis: Double,
    val workspace: String,
    val promptTokens: Int,
) {
    /** Whether the request books a pickup. */
    val isBooking: Boolean get() = promptTokens == 0
}
