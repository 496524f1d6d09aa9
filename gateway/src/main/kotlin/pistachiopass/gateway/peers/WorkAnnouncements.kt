/** Announces placed work and its end to the instances that place on the same endpoints. */
package pistachiopass.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.gateway.forward.EstimateSink
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.PlacedWork
import pistachiopass.gateway.placement.PlacedWorkId
import pistachiopass.gateway.placement.RemoteWorkId
import pistachiopass.membership.MemberHost
import pistachiopass.shortage.WorkspaceHash

/** Sends over [channel] in batches, and records in [load] what others send. Confined to the event loop. */
internal class WorkAnnouncements(
    private val load: FleetLoad,
    private val usage: UsageExchange,
    private val channel: PeerChannel,
    private val scope: CoroutineScope,
) : EstimateSink {
    private class UnsentWork {
        val works = ArrayList<EncodedEstimate>()
        val ended = ArrayList<PlacedWorkId>()
    }

    private val unsentWork = LinkedHashMap<List<MemberHost>, UnsentWork>()

    override fun placed(audience: List<MemberHost>, work: PlacedWork, workspace: WorkspaceHash) {
        usage.placed(audience, workspace, work.estimate.prefillMillis + work.estimate.decodeMillis)
        unsentFor(audience)?.works?.add(encodedEstimateOf(work.id, work.estimate))
    }

    override fun ended(audience: List<MemberHost>, work: PlacedWork) {
        unsentFor(audience)?.ended?.add(work.id)
    }

    /** Records the work that [sender] announced. */
    fun receive(sender: MemberHost, update: PlacedWorkUpdate) {
        update.works.forEach { load.addRemote(RemoteWorkId(sender, PlacedWorkId(it.id)), it.toEstimate()) }
        update.endedIds.forEach { load.endRemote(RemoteWorkId(sender, PlacedWorkId(it))) }
    }

    private fun unsentFor(audience: List<MemberHost>): UnsentWork? {
        if (audience.isEmpty()) return null
        if (unsentWork.isEmpty()) scope.launch { sendUpdates() }
        return unsentWork.getOrPut(audience, ::UnsentWork)
    }

    private suspend fun sendUpdates() {
        delay(UPDATE_DELAY_MILLIS)
        unsentWork.forEach { (audience, unsent) ->
            updatesOf(unsent.works, unsent.ended).forEach { channel.send(audience, it) }
        }
        unsentWork.clear()
    }
}

/** Time for which updates of placed work are batched; shorter than the time that a request takes to start. */
private const val UPDATE_DELAY_MILLIS: Long = 10
