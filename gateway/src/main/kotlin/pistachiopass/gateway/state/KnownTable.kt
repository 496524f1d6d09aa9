/**
 * The routing table in force.
 *
 * A table whose version is lower than that of the one in force is ignored; of two with one version the later holds.
 * Of a table that can be read in part, that part is in force, and its [pistachiopass.gateway.model.TableGaps] tell what
 * is uncertain. One of which nothing can be read leaves the table in force, but outdated.
 */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.model.TableVersion
import pistachiopass.model.UnreadPart

/** Holds the table; its age follows [freshness] while it is the newest one. Confined to the event loop. */
internal class KnownTable(
    private val clock: AgeClock,
    private val freshness: StateFreshness,
    private val log: EventLog,
) {
    /** A newer table of which nothing could be read; the one in force was confirmed last at [confirmedMillis]. */
    private class UnreadTable(val problem: String, val confirmedMillis: Long?)

    private var unread: UnreadTable? = null
    private var version: TableVersion? = null

    /** The table in force, or null while none is known. */
    var table: RoutingTable? = null
        private set

    /** Whether a newer table is published of which nothing could be read. */
    val isOutdated: Boolean get() = unread != null

    /** Returns the time since the table was last confirmed to be the newest one, or null if it never was. */
    fun ageMillisOrNull(): Long? {
        val newer = unread ?: return freshness.ageMillisOrNull()
        return newer.confirmedMillis?.let { clock.nowMillis() - it }
    }

    /** Returns what of the newest table could not be read. */
    fun unreadParts(): List<UnreadPart> =
        unread?.let { listOf(UnreadPart("table", it.problem)) } ?: table?.gaps?.parts.orEmpty()

    /** Applies a table that was published later than the last one. */
    fun apply(item: StateItem.Table) {
        val next = item.table
        val held = version
        val stated = next?.version?.takeUnless { next.gaps.lacksVersion }
        when {
            next == null -> becomeOutdated(item)
            held != null && stated != null && stated < held ->
                log.log(Event.TABLE_VERSION_IGNORED, field("version", stated), field("held", held))
            else -> accept(next, stated ?: held, item)
        }
    }

    private fun accept(next: RoutingTable, nextVersion: TableVersion?, item: StateItem.Table) {
        val held = table
        unread = null
        version = nextVersion
        table = if (held == null || next.gaps.parts.isEmpty()) next else next.withGapsNarrowedBy(held)
        log.log(
            Event.TABLE_ACCEPTED,
            field("version", next.version),
            field("revision", item.revision.value),
            field("routes", next.routes.size),
            field("unreadParts", next.gaps.parts.size),
        )
        next.gaps.parts.take(LOGGED_PARTS_MAX).forEach(log::logUnread)
    }

    private fun becomeOutdated(item: StateItem.Table) {
        val problem = item.problem ?: "unknown"
        val confirmedMillis = freshness.ageMillisOrNull()?.let { clock.nowMillis() - it }
        unread = UnreadTable(problem, unread?.confirmedMillis ?: confirmedMillis)
        log.log(Event.TABLE_REFUSED, field("revision", item.revision.value), tokenField("problem", problem))
    }
}

/** Logs that [part] could not be read. */
internal fun EventLog.logUnread(part: UnreadPart): Unit =
    log(Event.PART_UNREAD, tokenField("part", part.path), tokenField("problem", part.problem))

/** Events about the unread parts of one table; the metric and the status name more of them. */
private const val LOGGED_PARTS_MAX: Int = 16
