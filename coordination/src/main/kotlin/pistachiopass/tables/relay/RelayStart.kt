/**
 * The start of an instance: it asks peers for their documents before it uses those of the platform.
 *
 * Peers are taken from the settings and from the instance list that peers have in force; if none of them answers, from
 * the instance list of the platform. That list only serves to find peers and is not in force before they have been
 * asked, since the platform may be stale.
 */
package pistachiopass.tables.relay

import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import kotlin.time.Duration.Companion.milliseconds

/** The next step of the start. */
internal sealed interface StartStep {
    /** Wait for outstanding answers. */
    data object Wait : StartStep

    /** Compare versions with [peers]. */
    data class Ask(val peers: List<InstanceId>) : StartStep

    /** Read the instance list of the platform, to find peers. */
    data object ReadList : StartStep

    /** The start has ended. */
    data object Done : StartStep
}

/** Decides which peers to ask and when enough peers have been asked. */
internal class RelayStart(
    private val environment: RelayEnvironment,
    private val settings: RelaySettings,
) {
    private val bootstrap = environment.bootstrap
    private val endsAt = environment.clock.markNow() + settings.startTimeoutMillis.milliseconds
    private val asked = HashSet<InstanceId>()
    private val outstanding = HashSet<InstanceId>()
    private var listRead = ListRead.NOT_ASKED
    private var hasAskedByList = false

    /** Number of peers that answered and have documents. */
    var answers: Int = 0
        private set

    /** The instance list of the platform, which is not in force. */
    var platformList: InstanceList? = null
        private set

    /** Records the reply of [peer] to a comparison; [versions] is null when the call failed. */
    fun onReply(peer: InstanceId, versions: TableVersions?) {
        if (outstanding.remove(peer) && versions?.documents.orEmpty().isNotEmpty()) answers++
    }

    /** Records the instance list of the platform, or null when the platform returned none. */
    fun onList(list: InstanceList?) {
        listRead = ListRead.ENDED
        platformList = list
    }

    /** Returns the next step, given the instance list in force and whether documents are being fetched. */
    fun next(inForce: InstanceList?, isFetching: Boolean): StartStep = when {
        endsAt.hasPassedNow() -> StartStep.Done
        outstanding.isNotEmpty() || isFetching || listRead == ListRead.RUNNING -> StartStep.Wait
        answers > 0 && hasAskedByList -> StartStep.Done
        else -> askMore(inForce ?: platformList)
    }

    private fun askMore(list: InstanceList?): StartStep {
        val peers = (candidates(list) - asked).take(settings.startBatchPeers)
        if (list != null) hasAskedByList = true
        return when {
            peers.isNotEmpty() -> StartStep.Ask(peers).also { ask(peers) }
            listRead == ListRead.NOT_ASKED && answers == 0 -> StartStep.ReadList.also { listRead = ListRead.RUNNING }
            else -> StartStep.Done
        }
    }

    private fun candidates(list: InstanceList?): List<InstanceId> {
        val localPeers = list?.localPeersOf(environment.self).orEmpty().shuffled(environment.random)
        val remotePartners = list?.remotePartnersOf(environment.self, settings.remotePartners).orEmpty()
        val listed = localPeers + remotePartners
        return if (asked.containsAll(bootstrap)) listed else bootstrap
    }

    private fun ask(peers: List<InstanceId>) {
        asked += peers
        outstanding += peers
    }

    private enum class ListRead { NOT_ASKED, RUNNING, ENDED }
}
