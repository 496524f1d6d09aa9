/** What the relay asks its driver to do, and how watches of the platform end. */
package pistachiopass.tables.relay

import kotlinx.serialization.json.JsonElement
import pistachiopass.model.InstanceId
import pistachiopass.model.Published
import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import pistachiopass.tables.OfferOutcome

/** Asks the driver for one call or message; each but [Announce] is answered by a function of [TableRelay]. */
public sealed interface RelayAction {
    /** Watch [document] at the platform; ends in [TableRelay.onWatched]. */
    public data class Watch(val document: DocumentName, val after: TableVersion, val waitMillis: Long) : RelayAction

    /** Read the instance list of the platform without waiting; ends in [TableRelay.onListRead]. */
    public data object ReadList : RelayAction

    /** Send [versions] to [peers] one way. */
    public data class Announce(val peers: List<InstanceId>, val versions: TableVersions) : RelayAction

    /** Call [peer] with [versions]; ends in [TableRelay.onCompared]. */
    public data class Compare(val peer: InstanceId, val versions: TableVersions) : RelayAction

    /** Call [peer] for [document]; ends in [TableRelay.onFetched]. */
    public data class Fetch(val peer: InstanceId, val document: DocumentName) : RelayAction
}

/** What one watch of a document came back with. */
public sealed interface WatchOutcome {
    /** The document has a newer state. */
    public data class Changed(val document: Published<JsonElement>) : WatchOutcome

    /** The document did not change while the watch lasted. */
    public data object Unchanged : WatchOutcome

    /** The platform did not answer as it should; [cause] says how. */
    public data class Unavailable(val cause: String) : WatchOutcome
}

/** Is told what the relay did, for logs and metrics. */
public interface RelayObserver {
    /** A state of [document] was offered to the documents in force; [peer] is null when the platform gave it. */
    public fun onOffered(document: DocumentName, version: TableVersion, peer: InstanceId?, outcome: OfferOutcome)

    /** The start is over; [answers] peers that have documents were heard. */
    public fun onStarted(answers: Int)

    /** The platform stopped answering or answers again. */
    public fun onPlatform(document: DocumentName, isReachable: Boolean)
}
