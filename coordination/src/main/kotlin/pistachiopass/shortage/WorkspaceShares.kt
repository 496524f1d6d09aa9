/**
 * Recent usage of engines by workspace, and its ratio to a fair share.
 *
 * The load condition is that a few workspaces ask for more than their part of an overloaded fleet. The fair share is
 * max-min: each workspace gets what it asks for up to a common level, and what some do not use raises the level for
 * the others. Usage is the time of placed prefill and decode. All instances count the placements that they make and
 * those that others announce. A lost announcement lowers the usage of all workspaces alike on average, and the ratio
 * does not depend on the total.
 */
package pistachiopass.shortage

import pistachiopass.model.WorkspaceId
import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlin.math.exp

/** Stands for a workspace in messages between instances; 0 is no workspace. */
@JvmInline
public value class WorkspaceHash(public val value: Int) {
    override fun toString(): String = "%08x".format(value)
}

/** Hash for requests without a workspace. */
public val NO_WORKSPACE: WorkspaceHash = WorkspaceHash(0)

/**
 * Returns the hash of [workspace], keyed with its API key [key], so that names cannot be guessed from messages. Two
 * workspaces with one hash are counted as one.
 */
public fun workspaceHashOf(workspace: WorkspaceId, key: String): WorkspaceHash {
    val digest = MessageDigest.getInstance("SHA-256").digest("$key\n${workspace.value}".encodeToByteArray())
    return WorkspaceHash(ByteBuffer.wrap(digest).getInt().takeIf { it != NO_WORKSPACE.value } ?: 1)
}

/** Requests of this instance's callers, with the growth of [WorkspaceShares]. */
private class Counts(var asked: Double = 0.0, var placed: Double = 0.0) {
    val placedPart: Double get() = if (asked > 0) placed / asked else 1.0
}

/** Holds the usage of at most [WORKSPACES_MAX] workspaces. Confined to one thread. */
public class WorkspaceShares internal constructor(private val nowMillis: () -> Long) {
    /** Usage, multiplied by the growth since [originMillis]: this replaces the decay of each entry. */
    private val grownMillis = HashMap<WorkspaceHash, Double>()
    private val counts = HashMap<Pair<Rank, WorkspaceHash>, Counts>()
    private var askedGrownMillis = 0.0
    private var placedGrownMillis = 0.0
    private var originMillis = nowMillis()

    /** Records that a caller of this instance asked for work of [millis] with [rank], whether it is placed or not. */
    public fun asked(workspace: WorkspaceHash, rank: Rank, millis: Double) {
        if (!isValid(millis)) return
        askedGrownMillis += millis * growth()
        countsOf(rank, workspace).forEach { it.asked += growth() }
    }

    /** Records that this instance placed work of [millis] with [rank]; out-of-range values change nothing. */
    public fun placed(workspace: WorkspaceHash, rank: Rank, millis: Double) {
        if (!isValid(millis)) return
        placedGrownMillis += millis * growth()
        countsOf(rank, workspace).forEach { it.placed += growth() }
        announced(workspace, millis)
    }

    /** Records that work of [millis] was placed for [workspace]; out-of-range values change nothing. */
    public fun announced(workspace: WorkspaceHash, millis: Double) {
        if (!isValid(millis)) return
        val grown = millis * growth()
        val isKnown = workspace in grownMillis || grownMillis.size < WORKSPACES_MAX
        if (workspace != NO_WORKSPACE && isKnown) grownMillis.merge(workspace, grown, Double::plus)
    }

    /** Returns the part of all usage that is [workspace]'s, from 0 to 1; 0 if it is unknown. */
    public fun usageOf(workspace: WorkspaceHash): Double =
        (grownMillis[workspace] ?: 0.0) / grownMillis.values.sum().coerceAtLeast(Double.MIN_VALUE)

    /**
     * Returns the ratio of the usage of [workspace] to its fair share. It is 1 if the workspace is unknown, if nothing
     * was refused, or if its requests of [rank] are placed far less often than others of that rank already.
     */
    public fun ratioOf(workspace: WorkspaceHash, rank: Rank): Double {
        val usage = grownMillis[workspace]
        val (ofRank, ofWorkspace) = countsOf(rank, workspace)
        val isHeldBack = ofWorkspace.placedPart < ofRank.placedPart * PLACED_PART_MIN
        return if (usage == null || isHeldBack) 1.0 else usage / levelOf(demandRatio())
    }

    /** Returns the counts of all requests with [rank], and those of [workspace] among them. */
    private fun countsOf(rank: Rank, workspace: WorkspaceHash): List<Counts> {
        val isHeld = workspace in grownMillis || counts.size < WORKSPACES_MAX
        return listOf(
            counts.getOrPut(rank to NO_WORKSPACE, ::Counts),
            if (isHeld) counts.getOrPut(rank to workspace, ::Counts) else Counts(),
        )
    }

    /** Demand in relation to usage, the same for all workspaces, since others do not announce what they refused. */
    private fun demandRatio(): Double = maxOf(1.0, askedGrownMillis / maxOf(placedGrownMillis, Double.MIN_VALUE))

    private fun levelOf(demandRatio: Double): Double {
        val usages = grownMillis.values.sorted()
        var left = usages.sum()
        usages.forEachIndexed { index, usage ->
            val level = left / (usages.size - index)
            if (usage * demandRatio > level) return level
            left -= usage * demandRatio
        }
        return usages.last()
    }

    private fun growth(): Double {
        val ageMillis = nowMillis() - originMillis
        if (ageMillis <= REBASE_MILLIS) return exp(ageMillis / DECAY_MILLIS)
        val factor = exp(-ageMillis / DECAY_MILLIS)
        grownMillis.replaceAll { _, grown -> grown * factor }
        grownMillis.values.removeIf { it < USAGE_MIN_MILLIS }
        counts.values.forEach {
            it.asked *= factor
            it.placed *= factor
        }
        counts.values.removeIf { it.asked < COUNT_MIN }
        askedGrownMillis *= factor
        placedGrownMillis *= factor
        originMillis += ageMillis
        return 1.0
    }
}

/** Returns shares without usage; [nowMillis] is a monotonic clock. */
public fun workspaceSharesOf(nowMillis: () -> Long): WorkspaceShares = WorkspaceShares(nowMillis)

private fun isValid(millis: Double): Boolean = millis > 0 && millis <= WORK_MILLIS_MAX

/** Time in which usage decays to 1 / e: several requests of the longest kind. */
private const val DECAY_MILLIS: Double = 5_000.0

/** Growth is limited to exp(4). */
private const val REBASE_MILLIS: Long = 20_000

/** Usage below which a workspace counts as one that does not ask. */
private const val USAGE_MIN_MILLIS: Double = 1.0

/** Count below which the requests of a workspace are forgotten. */
private const val COUNT_MIN: Double = 0.01

/**
 * Part of the mean of a rank below which a workspace is not held back further: it has to be placed at least half as
 * often as the mean, and the counts lag behind by seconds.
 */
private const val PLACED_PART_MIN: Double = 0.7

/** Work of one announcement; more is not possible for any request. */
private const val WORK_MILLIS_MAX: Double = 600_000.0

/** Far above the workspaces of a routing table; hashes of others come from instances with another table. */
private const val WORKSPACES_MAX: Int = 4_096
