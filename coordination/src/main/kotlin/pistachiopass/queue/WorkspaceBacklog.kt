/** The waiting requests of one workspace. */
package pistachiopass.queue

import pistachiopass.model.WorkspaceId
import pistachiopass.routing.PromptClass
import pistachiopass.routing.promptClassOf
import java.util.TreeSet

/** Holds a waiting request and when it counts as overdue. */
internal class QueuedRequest(val waiting: WaitingRequest, val dueMillis: Long) {
    val startByMillis: Long get() = waiting.startByMillis
    val idText: String get() = waiting.id.value

    fun isWaitingAt(nowMillis: Long): Boolean = nowMillis < startByMillis

    fun isOverdueAt(nowMillis: Long): Boolean = dueMillis <= nowMillis
}

/** Returns the request, overdue after [ageingMillis] or half of its own limit, whichever comes first. */
internal fun queuedRequestOf(waiting: WaitingRequest, ageingMillis: Long): QueuedRequest {
    val halfMillis = (waiting.startByMillis - waiting.sinceMillis) / 2
    return QueuedRequest(waiting, waiting.sinceMillis + minOf(ageingMillis, halfMillis))
}

/** Holds a request that may be next; the least key goes first. */
internal class Candidate(val request: QueuedRequest, val isOverdue: Boolean, val key: Long)

/** Orders the requests of [workspace]. */
internal class WorkspaceBacklog(val workspace: WorkspaceId) {
    private val byClass: Map<PromptClass, TreeSet<QueuedRequest>> =
        PromptClass.entries.associateWith { TreeSet(BY_DEADLINE) }
    private val byDue: TreeSet<QueuedRequest> = TreeSet(BY_DUE)
    private val classTokens: LongArray = LongArray(PromptClass.entries.size)

    val size: Int get() = byDue.size
    val tokens: Long get() = classTokens.sum()

    /** Returns the tokens of [longest] and all shorter classes. */
    fun tokensUpTo(longest: PromptClass): Long = classTokens.take(longest.ordinal + 1).sum()

    fun add(request: QueuedRequest) {
        byClass.getValue(request.waiting.promptClass).add(request)
        byDue.add(request)
        classTokens[request.waiting.promptClass.ordinal] += request.waiting.tokens
    }

    fun remove(request: QueuedRequest) {
        byClass.getValue(request.waiting.promptClass).remove(request)
        byDue.remove(request)
        classTokens[request.waiting.promptClass.ordinal] -= request.waiting.tokens
    }

    /** Returns the overdue request that was due first, and the first of each class. */
    fun candidatesAt(nowMillis: Long, startTag: Long): List<Candidate> {
        val overdue = byDue.firstOrNull { it.isWaitingAt(nowMillis) }?.takeIf { it.isOverdueAt(nowMillis) }
        val heads = byClass.values.mapNotNull { queue -> queue.firstOrNull { it.isWaitingAt(nowMillis) } }
        return listOfNotNull(overdue?.let { Candidate(it, isOverdue = true, startTag) }) +
            heads.filter { it !== overdue }.map { Candidate(it, isOverdue = false, startTag + it.waiting.tokens) }
    }
}

/** The class of the prompt. */
internal val WaitingRequest.promptClass: PromptClass get() = promptClassOf(promptTokens)

private val BY_DEADLINE: Comparator<QueuedRequest> = compareBy({ it.startByMillis }, { it.idText })
private val BY_DUE: Comparator<QueuedRequest> = compareBy({ it.dueMillis }, { it.idText })
