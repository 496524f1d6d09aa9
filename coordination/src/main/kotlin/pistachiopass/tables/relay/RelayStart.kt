/**
 * The start of an instance: it asks peers for their documents before it believes the platform.
 *
 * Peers come from the settings, from the list that peers have in force and, when these give none that answers, from the
 * list that the platform shows. That last one serves to find peers and is not in force before they have been asked,
 * since the platform may be stale.
 */
package pistachiopass.tables.relay

import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import kotlin.time.Duration.Companion.milliseconds

/** Says what the start needs next. */
internal sealed interface StartStep {
    /** Answers are outstanding. */
    data object Wait : StartStep

    /** Compare versions with [peers]. */
    data class Ask(val peers: List<InstanceId>) : StartStep

    /** Read the instance list of the platform, to find peers. */
    data object ReadList : StartStep

    /** The start is over. */
    data object Done : StartStep
}

/** Decides whom to ask and when enough have been asked. */
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

    /** Peers that answered and have documents. */
    var answers: Int = 0
        private set

    /** The list that the platform showed; not in force. */
    var platformList: InstanceList? = null
        private set

    /** Notes that [peer] answered a comparison, or failed to. */
    fun onAnswer(peer: InstanceId, versions: TableVersions?) {
        if (outstanding.remove(peer) && versions?.documents.orEmpty().isNotEmpty()) answers++
    }

    /** Notes the list that the platform showed, or null when it showed none. */
    fun onList(list: InstanceList?) {
        listRead = ListRead.ENDED
        platformList = list
    }

    /** Returns what to do next, given the list in force and whether documents are being fetched. */
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
