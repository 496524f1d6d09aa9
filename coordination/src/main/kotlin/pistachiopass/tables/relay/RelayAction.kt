/** The calls and messages that the relay requests from its driver, and the results of watches. */
package pistachiopass.tables.relay

import kotlinx.serialization.json.JsonElement
import pistachiopass.model.InstanceId
import pistachiopass.model.Published
import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import pistachiopass.tables.OfferOutcome

/** One call or message for the driver to send; the result of each but [Announce] is passed to [TableRelay]. */
public sealed interface RelayAction {
    /** Wait up to [waitMillis] for a version of [document] above [after]; result: [TableRelay.onWatched]. */
    public data class Watch(val document: DocumentName, val after: TableVersion, val waitMillis: Long) : RelayAction

    /** Read the instance list of the platform without waiting; result: [TableRelay.onListRead]. */
    public data object ReadList : RelayAction

    /** Send [versions] to [peers] as a one-way message. */
    public data class Announce(val peers: List<InstanceId>, val versions: TableVersions) : RelayAction

    /** Call [peer] with [versions] for the versions that it has; result: [TableRelay.onCompared]. */
    public data class Compare(val peer: InstanceId, val versions: TableVersions) : RelayAction

    /** Fetch [document] from [peer]; result: [TableRelay.onFetched]. */
    public data class Fetch(val peer: InstanceId, val document: DocumentName) : RelayAction
}

/** The result of a watch of one document. */
public sealed interface WatchOutcome {
    /** The platform has a newer version. */
    public data class Changed(val document: Published<JsonElement>) : WatchOutcome

    /** The document did not change until the watch timed out. */
    public data object Unchanged : WatchOutcome

    /** The platform did not answer, or not correctly; [cause] says how. */
    public data class Unavailable(val cause: String) : WatchOutcome
}

/** Callbacks of the relay, for logs and metrics. */
public interface RelayObserver {
    /** A [version] of [document] was received from [peer], or null for the platform, and offered with [outcome]. */
    public fun onOffered(document: DocumentName, version: TableVersion, peer: InstanceId?, outcome: OfferOutcome)

    /** The start has ended; [answers] peers that have documents have answered. */
    public fun onStarted(answers: Int)

    /** The platform stopped answering watches of [document], or answers them again. */
    public fun onPlatformReachability(document: DocumentName, isReachable: Boolean)
}
