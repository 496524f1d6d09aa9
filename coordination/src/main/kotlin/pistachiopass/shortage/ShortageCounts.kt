/** Counts of what became of requests in a shortage, by rank. */
package pistachiopass.shortage

/** What became of a request, as a label of metrics. */
public enum class ShortageOutcome(public val text: String) {
    /** Sent to an engine. */
    PLACED("placed"),

    /** Refused, since the first event was forecast for after the end of the request's time. */
    REFUSED_FORECAST("refused_forecast"),

    /** Refused, since the queues of the engines were full. */
    REFUSED_QUEUES("refused_queues_full"),

    /** Returned at the promised time; these are also counted as placed or refused. */
    RETURNED("returned"),

    /** Answered in full. */
    SERVED("served"),
}

/** Returns the outcome that counts refusals for this reason. */
public val RefusalReason.outcome: ShortageOutcome
    get() = when (this) {
        RefusalReason.FORECAST -> ShortageOutcome.REFUSED_FORECAST
        RefusalReason.QUEUES_FULL -> ShortageOutcome.REFUSED_QUEUES
    }

/** Holds one count for each rank and outcome, 50 in all. Confined to one thread. */
public class ShortageCounts {
    private val counts = Array(RANK_MAX + 1) { LongArray(ShortageOutcome.entries.size) }

    /** Adds a request with [rank] to the count of [outcome]. */
    public fun add(rank: Rank, outcome: ShortageOutcome) {
        counts[rank.value][outcome.ordinal]++
    }

    /** Returns the count of [outcome] for [rank] since the start of the process. */
    public fun of(rank: Rank, outcome: ShortageOutcome): Long = counts[rank.value][outcome.ordinal]

    /** Returns the ranks of which any request was counted. */
    public fun ranks(): List<Rank> = counts.indices.filter { counts[it].any { count -> count > 0 } }.map(::Rank)
}
