/** What a load run does: how many requests of which lengths, for whom and with which seed. */
package pistachiopass.standins.load

import kotlinx.serialization.Serializable

/** Describes one run; equal scenarios plan equal requests. */
@Serializable
public data class Scenario(
    val seed: Long = 1,
    val durationMillis: Long = 60_000,
    val requestsPerSecond: Double = 5.0,
    /** Share of the arrivals that book a pickup in place of asking a model. */
    val bookingShare: Double = 0.0,
    val model: String = "drape-8b",
    val maxPromptTokens: Int = 250_000,
    val answerTokens: Int = 64,
    /** Longest time from the intended send time to the first token, for an answer in time. */
    val firstTokenMillis: Long = 1_100,
    /** Longest time from the intended send time to the end of an answer; the request fails after it. */
    val timeoutMillis: Long = 60_000,
    /** Weights of the workspaces, which are named by their place: `workspace-0` and so on. */
    val workspaceWeights: List<Double> = DEFAULT_WORKSPACE_WEIGHTS,
)

/** Ten workspaces, a few of them large. */
private val DEFAULT_WORKSPACE_WEIGHTS: List<Double> =
    List(DEFAULT_WORKSPACES) { place -> maxOf(LARGEST_WEIGHT / (place + 1), 1.0) }

private const val DEFAULT_WORKSPACES: Int = 10
private const val LARGEST_WEIGHT: Double = 8.0
