/** The waiting requests of all workspaces with the tags that make them take fair turns. */
package pistachiopass.queue

import pistachiopass.model.WorkspaceId

/** Orders the requests of an endpoint over workspaces. */
internal class WorkspaceBacklogs {
    private val backlogs: LinkedHashMap<WorkspaceId, WorkspaceBacklog> = LinkedHashMap()
    private val startTags: StartTags = StartTags()

    /** Returns how many requests of [workspace] wait. */
    fun sizeOf(workspace: WorkspaceId): Int = backlogs[workspace]?.size ?: 0

    fun add(entry: QueueEntry) {
        val workspace = entry.waiting.workspace
        startTags.activate(workspace)
        backlogs.getOrPut(workspace) { WorkspaceBacklog(workspace) }.add(entry)
    }

    fun remove(entry: QueueEntry) {
        val backlog = backlogs.getValue(entry.waiting.workspace)
        backlog.remove(entry)
        if (backlog.size == 0) backlogs.remove(backlog.workspace)
        startTags.retain(backlogs.keys)
    }

    /** Charges the request to its workspace. */
    fun charge(entry: QueueEntry): Unit = startTags.charge(entry.waiting.workspace, entry.waiting.tokens)

    /** Returns the requests that may be next, the least key first. */
    fun candidatesAt(nowMillis: Long): List<DispatchCandidate> = backlogs.values
        .flatMap { it.candidatesAt(nowMillis, startTags.startTagOf(it.workspace)) }
        .sortedWith(BY_KEY)

    /**
     * Returns the tokens that go before [waiting] by the present startTags: of its own workspace those of no longer
     * class, of each other one as many as its tag lags behind the key of [waiting].
     */
    fun tokensAhead(waiting: WaitingRequest): Long {
        val key = startTags.startTagOf(waiting.workspace) + waiting.tokens
        return backlogs.values.sumOf { backlog ->
            if (backlog.workspace == waiting.workspace) {
                backlog.tokensUpTo(waiting.promptClass)
            } else {
                (key - startTags.startTagOf(backlog.workspace)).coerceIn(0, backlog.tokens)
            }
        }
    }
}

private val BY_KEY: Comparator<DispatchCandidate> =
    compareBy({ it.key }, { it.entry.startByMillis }, { it.entry.idText })
