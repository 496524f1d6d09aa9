/**
 * From where to where in each era a log has known all changes.
 *
 * The changes after a position can be told only if it lies between these two: a reader before the first one lacks
 * changes that the log never saw, and one beyond the last one has seen what the log has not, so that the log cannot
 * tell what of that was lost with the era.
 */
package pistachiopass.published

import java.util.TreeMap

/** Records the latest eras; the present one has no end. */
internal class EraSpans {
    private class Span(val start: Revision, val end: Revision?)

    private val spans = TreeMap<Long, Span>()
    private var horizon: Revision? = null

    /** Records that the log enters the era of [start] there and leaves the one before at [leftAt], null for none. */
    fun enter(start: Revision, leftAt: Revision?) {
        if (leftAt != null) spans[leftAt.era]?.let { spans[leftAt.era] = Span(it.start, leftAt) }
        spans[start.era] = Span(start, end = null)
        while (spans.size > ERAS_MAX) spans.pollFirstEntry()
    }

    /** Records that changes up to [position] can no longer be told. */
    fun dropBefore(position: Revision) {
        horizon = maxOf(horizon ?: position, position)
    }

    /** Returns up to where [item] is known to be unchanged in [era]: an item of an earlier one was so at its start. */
    fun positionIn(era: Long, item: PublishedItem): Revision =
        if (item.revision.era < era) spans[era]?.start ?: item.revision else item.revision

    /** Returns whether all changes after [position] are known; there are none for a reader in a later era. */
    fun isKnownSince(position: Revision): Boolean {
        val span = spans[position.era] ?: return position.era > spans.lastKey()
        val isDropped = horizon?.let { position < it } ?: false
        return !isDropped && position >= span.start && (span.end == null || position <= span.end)
    }
}

private const val ERAS_MAX = 8
