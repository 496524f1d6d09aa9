/** The waiting requests of one workspace. */
package pistachiopass.queue

import pistachiopass.model.WorkspaceId
import pistachiopass.routing.PromptClass
import pistachiopass.routing.promptClassOf
import java.util.TreeSet

/** A waiting request and the time from which it is overdue. */
internal class QueueEntry(val waiting: WaitingRequest, val overdueAtMillis: Long) {
    val startByMillis: Long get() = waiting.startByMillis
    val idText: String get() = waiting.id.value

    fun isWaitingAt(nowMillis: Long): Boolean = nowMillis < startByMillis

    fun isOverdueAt(nowMillis: Long): Boolean = overdueAtMillis <= nowMillis
}

/** Returns an entry that is overdue after [ageingMillis] or half of the request's own limit, whichever is shorter. */
internal fun queueEntryOf(waiting: WaitingRequest, ageingMillis: Long): QueueEntry {
    val halfMillis = (waiting.startByMillis - waiting.enqueuedAtMillis) / 2
    return QueueEntry(waiting, waiting.enqueuedAtMillis + minOf(ageingMillis, halfMillis))
}

/** An entry that may be taken next; the lowest [key] goes first. */
internal class DispatchCandidate(val entry: QueueEntry, val isOverdue: Boolean, val key: Long)

/** Orders the requests of [workspace]. */
internal class WorkspaceBacklog(val workspace: WorkspaceId) {
    private val byClass: Map<PromptClass, TreeSet<QueueEntry>> =
        PromptClass.entries.associateWith { TreeSet(BY_DEADLINE) }
    private val byOverdueTime: TreeSet<QueueEntry> = TreeSet(BY_OVERDUE_TIME)
    private val classTokens: LongArray = LongArray(PromptClass.entries.size)

    val size: Int get() = byOverdueTime.size
    val tokens: Long get() = classTokens.sum()

    /** Returns the tokens of the class [longest] and of all shorter classes. */
    fun tokensUpTo(longest: PromptClass): Long = classTokens.take(longest.ordinal + 1).sum()

    fun add(entry: QueueEntry) {
        byClass.getValue(entry.waiting.promptClass).add(entry)
        byOverdueTime.add(entry)
        classTokens[entry.waiting.promptClass.ordinal] += entry.waiting.tokens
    }

    fun remove(entry: QueueEntry) {
        byClass.getValue(entry.waiting.promptClass).remove(entry)
        byOverdueTime.remove(entry)
        classTokens[entry.waiting.promptClass.ordinal] -= entry.waiting.tokens
    }

    /** Returns the entry that has been overdue for the longest time, if any, and the first entry of each class. */
    fun candidatesAt(nowMillis: Long, startTag: Long): List<DispatchCandidate> {
        val overdue = byOverdueTime.firstOrNull { it.isWaitingAt(nowMillis) }?.takeIf { it.isOverdueAt(nowMillis) }
        val heads = byClass.values.mapNotNull { queue -> queue.firstOrNull { it.isWaitingAt(nowMillis) } }
        return listOfNotNull(overdue?.let { DispatchCandidate(it, isOverdue = true, startTag) }) +
            heads.filter { it !== overdue }
                .map { DispatchCandidate(it, isOverdue = false, startTag + it.waiting.tokens) }
    }
}

internal val WaitingRequest.promptClass: PromptClass get() = promptClassOf(promptTokens)

private val BY_DEADLINE: Comparator<QueueEntry> = compareBy({ it.startByMillis }, { it.idText })
private val BY_OVERDUE_TIME: Comparator<QueueEntry> = compareBy({ it.overdueAtMillis }, { it.idText })
