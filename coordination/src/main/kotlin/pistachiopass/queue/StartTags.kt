/** Start tags of workspaces: how many tokens each has been served, as far as it matters for the next turn. */
package pistachiopass.queue

import pistachiopass.model.WorkspaceId

/** Keeps the tags; the virtual time follows the tags of the workspaces that are served. */
internal class StartTags {
    private val startTags: HashMap<WorkspaceId, Long> = HashMap()
    private var virtualTime: Long = 0

    /** Returns the tag of [workspace], or the one it would get now. */
    fun startTagOf(workspace: WorkspaceId): Long = startTags[workspace] ?: virtualTime

    /** Gives [workspace] a tag when it has none, so that time without requests earns nothing. */
    fun activate(workspace: WorkspaceId) {
        startTags.putIfAbsent(workspace, virtualTime)
    }

    /**
     * Charges [tokens] to [workspace].
     *
     * A workspace that lags by more than the request because that one did not fit is not made up for it, since the
     * others would have to wait meanwhile.
     */
    fun charge(workspace: WorkspaceId, tokens: Long) {
        val start = maxOf(startTagOf(workspace), virtualTime - tokens)
        virtualTime = maxOf(virtualTime, start)
        startTags[workspace] = start + tokens
    }

    /** Forgets the tags of workspaces not in [waiting] that owe nothing, and all of them once nobody waits. */
    fun retain(waiting: Set<WorkspaceId>) {
        if (waiting.isEmpty()) startTags.clear()
        startTags.entries.removeIf { it.key !in waiting && it.value <= virtualTime }
    }
}
