/**
 * The start of an instance: it asks peers for their documents before it uses those of the platform.
 *
 * Peers are taken from the settings and from the instance list that peers have in force; if none of them answers, from
 * the instance list of the platform. That list only serves to find peers and is not in force before they have been
 * asked, since the platform may be stale.
 */
package pistachiopass.tables.relay

import com.github.michaelbull.result.get
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import pistachiopass.tables.instanceListCheck
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

    private var isListHeld = false
    private var isListMissing = false

    /**
     * Whether there is no instance list: none that answered holds one, and the platform is among them or the time of
     * the start is over. A peer alone does not prove it earlier, since it may have just started itself.
     */
    val hasNoList: Boolean get() = !isListHeld && (isListMissing || (answers > 0 && endsAt.hasPassedNow()))

    /** Records the reply of [peer] to a comparison; [versions] is null when the call failed. */
    fun onReply(peer: InstanceId, versions: TableVersions?) {
        val documents = versions?.documents.orEmpty()
        if (outstanding.remove(peer) && documents.isNotEmpty()) answers++
        if (documents.any { it.document == DocumentName.INSTANCES }) isListHeld = true
    }

    /** Records the result of reading the instance list of the platform. */
    fun onListRead(outcome: WatchOutcome) {
        listRead = ListRead.ENDED
        val document = (outcome as? WatchOutcome.Changed)?.document
        platformList = document?.value?.let { instanceListCheck().read(it).toResult().get() }
        if (document != null) isListHeld = true
        if (outcome is WatchOutcome.Unchanged) onListUnchanged(TableVersion.NONE)
    }

    /** Records that the platform holds no instance list above [version]. */
    fun onListUnchanged(version: TableVersion) {
        if (version == TableVersion.NONE) isListMissing = true
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
