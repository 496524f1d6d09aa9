/**
 * Messages by which instances pass documents on.
 *
 * An announcement and a comparison carry versions alone; a document travels only to an instance that lacks it, as
 * compressed JSON. Ages are durations on the sender's monotonic clock, so no two clocks are ever compared.
 */
package pistachiopass.tables.relay

import kotlinx.serialization.Serializable
import pistachiopass.model.TableVersion
import pistachiopass.peer.PeerMessageType
import pistachiopass.peer.peerMessageTypeOf
import pistachiopass.tables.DocumentName

/** Tells which version of [document] the sender has in force. */
@Serializable
public data class DocumentVersion(
    val document: DocumentName,
    val version: TableVersion,
    /** Time since the platform was last known to hold the version; null where it is not reported. */
    val ageMillis: Long? = null,
)

/** Lists the versions that the sender has in force; a document of which it has none is left out. */
@Serializable
public data class TableVersions(val documents: List<DocumentVersion>)

/** Asks for the state of [document] that the receiver has in force. */
@Serializable
public data class DocumentRequest(val document: DocumentName)

/** Holds one document in force; [body] is null when the sender has none. */
@Serializable
public class RelayedDocument(
    public val document: DocumentName,
    public val version: TableVersion,
    public val ageMillis: Long = 0,
    public val body: ByteArray? = null,
)

/** Type of the one-way message after a change. */
public val TABLES_ANNOUNCED: PeerMessageType<TableVersions> = peerMessageTypeOf("tables-announced")

/** Type of the call that compares versions; the response has the same form. */
public val TABLES_COMPARED: PeerMessageType<TableVersions> = peerMessageTypeOf("tables-compared")

/** Type of the call for a document. */
public val TABLE_REQUESTED: PeerMessageType<DocumentRequest> = peerMessageTypeOf("table-requested")

/** Type of the response that carries a document. */
public val TABLE_RELAYED: PeerMessageType<RelayedDocument> = peerMessageTypeOf("table-relayed")
