/** The documents in force, in the form in which the relay receives, compares and passes them on. */
package pistachiopass.tables.relay

import kotlinx.serialization.json.JsonElement
import pistachiopass.model.InstanceId
import pistachiopass.model.TableVersion
import pistachiopass.status.TableStatus
import pistachiopass.tables.DocumentName
import pistachiopass.tables.OfferOutcome
import pistachiopass.tables.TablesInForce
import pistachiopass.tables.TablesState
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Offers documents to [tables] and returns versions and ages; times are milliseconds since its creation. */
public class RelayedTables internal constructor(
    private val tables: TablesInForce,
    clock: TimeSource.WithComparableMarks,
    private val observer: RelayObserver,
) {
    private val startedAt: ComparableTimeMark = clock.markNow()
    private val bodies = BodyCache()

    internal val state: TablesState get() = tables.state.value

    /** The documents of which a version above the one in force was refused. */
    internal val refused: Set<DocumentName>
        get() = DocumentName.entries.filter { statuses()[it.ordinal].refusedVersion != null }.toSet()

    /** Returns the version in force and the present age of each document. */
    public fun statuses(): List<TableStatus> = tables.statusAt(nowMillis())

    /** Returns the versions in force with their ages. */
    public fun versions(): TableVersions = TableVersions(
        DocumentName.entries.zip(statuses())
            .filter { (_, status) -> status.version != TableVersion.NONE }
            .map { (document, status) -> DocumentVersion(document, status.version, status.ageMillis) },
    )

    /** Returns whether [offered] is above the version in force and was not refused before. */
    internal fun isWanted(offered: DocumentVersion): Boolean {
        val status = statuses()[offered.document.ordinal]
        return offered.version > status.version && offered.version != status.refusedVersion
    }

    /** Resets the age of a version that a peer [reported], if it is in force; the call began at [callStartedAt]. */
    internal fun confirm(reported: DocumentVersion, callStartedAt: ComparableTimeMark) {
        reported.ageMillis?.let { tables.confirm(reported.document, reported.version, millisOf(callStartedAt) - it) }
    }

    /** Offers a document of [peer] and returns whether it was accepted; the call began at [callStartedAt]. */
    internal fun offer(relayed: RelayedDocument, peer: InstanceId, callStartedAt: ComparableTimeMark): Boolean {
        val value = relayed.body?.let(::decompressedOrNull) ?: return false
        val confirmedAtMillis = millisOf(callStartedAt) - relayed.ageMillis
        return offer(relayed.document, relayed.version, value, confirmedAtMillis, peer)
    }

    /** Offers a document that the platform has just returned and returns whether it was accepted. */
    internal fun offer(document: DocumentName, version: TableVersion, value: JsonElement): Boolean =
        offer(document, version, value, nowMillis(), peer = null)

    /** Returns the version of [document] in force, for a peer. */
    @Synchronized
    public fun relayedOf(document: DocumentName): RelayedDocument {
        val status = statuses()[document.ordinal]
        return RelayedDocument(document, status.version, status.ageMillis ?: 0, bodies.bodyOrNull(document, state))
    }

    private fun offer(
        document: DocumentName,
        version: TableVersion,
        value: JsonElement,
        confirmedAtMillis: Long,
        peer: InstanceId?,
    ): Boolean {
        val outcome = tables.offer(document, version, value, confirmedAtMillis)
        observer.onOffered(document, version, peer, outcome)
        return outcome is OfferOutcome.Accepted
    }

    private fun nowMillis(): Long = startedAt.elapsedNow().inWholeMilliseconds

    private fun millisOf(mark: ComparableTimeMark): Long = (mark - startedAt).inWholeMilliseconds
}
