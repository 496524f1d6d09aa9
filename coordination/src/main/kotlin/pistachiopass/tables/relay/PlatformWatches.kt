/**
 * The watches (long polls) of one reader at the platform, one for each document.
 *
 * A watch asks for a version above the last one that the platform itself returned, not above the one in force. Only
 * then does an unchanged answer prove that the platform holds the version in force, and a stale platform resets no age.
 */
package pistachiopass.tables.relay

import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Decides when the next watch of each document begins. */
internal class PlatformWatches(
    private val settings: RelaySettings,
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random,
) {
    private val watches: List<DocumentWatch> = DocumentName.entries.map { DocumentWatch(it) }
    private var wasReader = false

    /** Returns the watches to start now. */
    fun actionsDue(isReader: Boolean): List<RelayAction> {
        if (isReader && !wasReader) watches.forEach { it.pause(random.nextLong(settings.takeOverDelayMaxMillis + 1)) }
        wasReader = isReader
        return if (isReader) watches.mapNotNull { it.beginOrNull() } else emptyList()
    }

    /** Records the end of a watch; returns true if the platform answers again, false if it stopped, or else null. */
    fun onEnded(document: DocumentName, outcome: WatchOutcome): Boolean? =
        watches.single { it.document == document }.end(outcome)

    private inner class DocumentWatch(val document: DocumentName) {
        private var seen: TableVersion = TableVersion.NONE
        private var running = false
        private var failures = 0
        private var dueAt: ComparableTimeMark = clock.markNow()

        fun beginOrNull(): RelayAction? {
            if (running || dueAt.hasNotPassedNow()) return null
            running = true
            return RelayAction.Watch(document, seen, settings.watchTimeoutMillis)
        }

        fun end(outcome: WatchOutcome): Boolean? {
            running = false
            if (outcome is WatchOutcome.Changed) seen = maxOf(seen, outcome.document.version)
            val hadFailed = failures > 0
            val fails = outcome is WatchOutcome.Unavailable
            failures = if (fails) failures + 1 else 0
            pause(if (fails) backoffMillis() else 0)
            return if (fails == hadFailed) null else hadFailed
        }

        fun pause(pauseMillis: Long) {
            dueAt = clock.markNow() + pauseMillis.milliseconds
        }

        private fun backoffMillis(): Long {
            val doublings = (failures - 1).coerceAtMost(MAX_BACKOFF_DOUBLINGS)
            val ceilingMillis =
                (settings.platformBackoffMinMillis shl doublings).coerceAtMost(settings.platformBackoffMaxMillis)
            return random.nextLong(ceilingMillis / 2, ceilingMillis + 1)
        }
    }
}

private const val MAX_BACKOFF_DOUBLINGS: Int = 10
