/**
 * Messages by which instances pass documents on to each other.
 *
 * Announcements and comparisons carry only versions; a document is sent, as compressed JSON, only to an instance that
 * lacks it. Ages are durations on the sender's monotonic clock, so that clocks of two instances are never compared.
 */
package pistachiopass.tables.relay

import kotlinx.serialization.Serializable
import pistachiopass.model.TableVersion
import pistachiopass.peer.PeerMessageType
import pistachiopass.peer.peerMessageTypeOf
import pistachiopass.tables.DocumentName

/** The version of [document] that the sender has in force. */
@Serializable
public data class DocumentVersion(
    val document: DocumentName,
    val version: TableVersion,
    /** Time since the platform was last known to hold the version; null where it is not reported. */
    val ageMillis: Long? = null,
)

/** The versions that the sender has in force, without documents of which it has none. */
@Serializable
public data class TableVersions(val documents: List<DocumentVersion>)

/** Asks for the version of [document] that the receiver has in force. */
@Serializable
public data class DocumentRequest(val document: DocumentName)

/** One document that the sender has in force; [body] is compressed JSON, or null when it has none. */
@Serializable
public class RelayedDocument(
    public val document: DocumentName,
    public val version: TableVersion,
    public val ageMillis: Long = 0,
    public val body: ByteArray? = null,
)

/** The one-way message that announces a new version. */
public val TABLES_ANNOUNCED: PeerMessageType<TableVersions> = peerMessageTypeOf("tables-announced")

/** The call that compares versions; its response has the same type. */
public val TABLES_COMPARED: PeerMessageType<TableVersions> = peerMessageTypeOf("tables-compared")

/** The call that fetches a document. */
public val TABLE_REQUESTED: PeerMessageType<DocumentRequest> = peerMessageTypeOf("table-requested")

/** The response that carries a document. */
public val TABLE_RELAYED: PeerMessageType<RelayedDocument> = peerMessageTypeOf("table-relayed")
