/** Start tags of workspaces for start-time fair queueing, counted in tokens. */
package pistachiopass.queue

import pistachiopass.model.WorkspaceId

/** Keeps the start tag of each workspace; the virtual time is the greatest start tag that was served. */
internal class StartTags {
    private val tags: HashMap<WorkspaceId, Long> = HashMap()
    private var virtualTime: Long = 0

    /** Returns the start tag of [workspace], or the one that it would get now. */
    fun startTagOf(workspace: WorkspaceId): Long = tags[workspace] ?: virtualTime

    /** Starts a workspace without a tag at the virtual time, so that it gains no credit by an idle period. */
    fun activate(workspace: WorkspaceId) {
        tags.putIfAbsent(workspace, virtualTime)
    }

    /**
     * Charges [tokens] to [workspace].
     *
     * A workspace whose request did not fit may lag behind the virtual time by more than these tokens. The excess is
     * not made up for, since all others would have to wait meanwhile.
     */
    fun charge(workspace: WorkspaceId, tokens: Long) {
        val start = maxOf(startTagOf(workspace), virtualTime - tokens)
        virtualTime = maxOf(virtualTime, start)
        tags[workspace] = start + tokens
    }

    /** Removes the tags of workspaces not in [waiting] that are not ahead of the virtual time, or all if none waits. */
    fun retain(waiting: Set<WorkspaceId>) {
        if (waiting.isEmpty()) tags.clear()
        tags.entries.removeIf { it.key !in waiting && it.value <= virtualTime }
    }
}
