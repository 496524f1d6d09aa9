/** Ranks of requests: the order in which they are served when demand exceeds capacity. */
package pistachiopass.shortage

/** Rank of a request, from 0, the first, to [RANK_MAX]. */
@JvmInline
public value class Rank internal constructor(public val value: Int) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/**
 * Returns the rank of a request: the priority of its workspace, or that of its route if the workspace states none.
 *
 * A priority outside 0..[RANK_MAX] counts as the nearest value in that range.
 */
public fun rankOf(routePriority: Int, workspacePriority: Int?): Rank =
    Rank((workspacePriority ?: routePriority).coerceIn(0, RANK_MAX))

/**
 * Returns the urgency, from 0 (first) to 9, of a request with [rank] among the [ranks] of its service.
 *
 * A request past its latency target comes after all that can still meet theirs: those use 0 to 4 and late ones 5 to 9,
 * in the order of the ranks. Of more than 5 ranks, neighbouring ones share an urgency. A rank that is not among [ranks]
 * counts as the next higher number among them, or the last.
 */
public fun urgencyOf(rank: Rank, ranks: Set<Rank>, isLate: Boolean): Int {
    require(ranks.isNotEmpty()) { "ranks $ranks: expected at least one" }
    val position = minOf(ranks.count { it < rank }, ranks.size - 1)
    val band = if (ranks.size <= BANDS) position else position * BANDS / ranks.size
    return if (isLate) band + BANDS else band
}

/** Rank of the requests that are served last. */
public const val RANK_MAX: Int = 9

/** Half of the urgencies 0 to 9: one band each for requests in time and for late ones. */
private const val BANDS: Int = 5
