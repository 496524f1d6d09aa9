/** Announces to other instances which workspaces use the engines, and counts what they announce. */
package pistachiopass.gateway.peers

import pistachiopass.membership.MemberHost
import pistachiopass.shortage.NO_WORKSPACE
import pistachiopass.shortage.WorkspaceHash
import pistachiopass.shortage.WorkspaceShares

/** Sends the usage of this instance's placements in batches. Confined to the event loop. */
internal class UsageExchange(private val shares: WorkspaceShares, private val channel: PeerChannel) {
    private val unsentMillis = LinkedHashMap<List<MemberHost>, LinkedHashMap<WorkspaceHash, Double>>()

    /** Queues work of [millis] for [audience] until [send]; work without a workspace is not announced. */
    fun placed(audience: List<MemberHost>, workspace: WorkspaceHash, millis: Double) {
        if (audience.isEmpty() || workspace == NO_WORKSPACE) return
        unsentMillis.getOrPut(audience, ::LinkedHashMap).merge(workspace, millis, Double::plus)
    }

    /** Sends what was queued. */
    fun send() {
        unsentMillis.forEach { (audience, usage) ->
            usageUpdatesOf(usage).forEach { channel.send(audience, it) }
        }
        unsentMillis.clear()
    }

    /** Counts the usage that another instance announced. */
    fun receive(update: PlacedUsageUpdate): Unit = update.usages.forEach {
        shares.announced(WorkspaceHash(it.workspace), it.workMillis.toDouble())
    }
}
