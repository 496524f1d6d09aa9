/** The documents in force as the relay offers, compares and passes them on. */
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

/** Puts documents in force and tells their versions and ages, on the milliseconds since its creation. */
public class RelayedTables internal constructor(
    private val tables: TablesInForce,
    clock: TimeSource.WithComparableMarks,
    private val observer: RelayObserver,
) {
    private val startedAt: ComparableTimeMark = clock.markNow()
    private val bodies = BodyCache()

    internal val state: TablesState get() = tables.state.value

    /** Returns version and age of each document now. */
    public fun statuses(): List<TableStatus> = tables.statusAt(nowMillis())

    /** Returns the versions and ages in force. */
    public fun versions(): TableVersions = TableVersions(
        DocumentName.entries.zip(statuses())
            .filter { (_, status) -> status.version != TableVersion.NONE }
            .map { (document, status) -> DocumentVersion(document, status.version, status.ageMillis) },
    )

    /** Returns whether [offered] is above the version in force and was not refused. */
    internal fun isWanted(offered: DocumentVersion): Boolean {
        val status = statuses()[offered.document.ordinal]
        return offered.version > status.version && offered.version != status.refusedVersion
    }

    /** Renews the age if the version is in force; [callStartedAt] is when the peer that told it was asked. */
    internal fun confirm(reported: DocumentVersion, callStartedAt: ComparableTimeMark) {
        reported.ageMillis?.let { tables.confirm(reported.document, reported.version, millisOf(callStartedAt) - it) }
    }

    /** Offers what [peer] has in force and returns whether it is in force here from now on. */
    internal fun offer(relayed: RelayedDocument, peer: InstanceId, callStartedAt: ComparableTimeMark): Boolean {
        val value = relayed.body?.let(::decompressedOrNull) ?: return false
        val confirmedAtMillis = millisOf(callStartedAt) - relayed.ageMillis
        return offer(relayed.document, relayed.version, value, confirmedAtMillis, peer)
    }

    /** Offers what the platform has just shown and returns whether it is in force from now on. */
    internal fun offer(document: DocumentName, version: TableVersion, value: JsonElement): Boolean =
        offer(document, version, value, nowMillis(), peer = null)

    /** Returns [document] as it is passed on. */
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
