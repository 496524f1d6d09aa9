/** The waiting requests of all workspaces, with the start tags that order them fairly. */
package pistachiopass.queue

import pistachiopass.model.WorkspaceId

/** Orders the requests of one endpoint across workspaces. */
internal class WorkspaceBacklogs {
    private val backlogs: LinkedHashMap<WorkspaceId, WorkspaceBacklog> = LinkedHashMap()
    private val startTags: StartTags = StartTags()

    /** Returns the number of waiting requests of [workspace]. */
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

    /** Charges the tokens of the request to its workspace. */
    fun charge(entry: QueueEntry): Unit = startTags.charge(entry.waiting.workspace, entry.waiting.tokens)

    /** Returns the entries that may be taken next, the lowest key first. */
    fun candidatesAt(nowMillis: Long): List<DispatchCandidate> = backlogs.values
        .flatMap { it.candidatesAt(nowMillis, startTags.startTagOf(it.workspace)) }
        .sortedWith(BY_KEY)

    /**
     * Returns the tokens that go before [waiting] by the current start tags: from its own workspace those of the same
     * or a shorter class, from each other workspace as many as its tag lags behind the key of [waiting].
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
