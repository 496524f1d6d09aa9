/**
 * The status of one instance as its admin address answers it on [STATUS_PATH], in JSON.
 *
 * Fields that a daemon does not fill have defaults, and readers ignore fields they do not know, so that instances and
 * operators' tools of different releases understand each other.
 */
package pistachiopass.status

import kotlinx.serialization.Serializable
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.model.TableVersion

/** Path of the status on the admin address. */
public const val STATUS_PATH: String = "/status"

/** Describes what one instance knows and holds at one moment. */
@Serializable
public data class InstanceStatus(
    val instance: InstanceId,
    val dataCentre: DataCentreId,
    val startId: StartId = StartId(""),
    /** Whether the balancer may send new requests to the instance. */
    val ready: Boolean = false,
    val uptimeMillis: Long = 0,
    val tables: List<TableStatus> = emptyList(),
    val endpoints: List<EndpointStatus> = emptyList(),
    val peers: List<PeerStatus> = emptyList(),
    val leases: LeaseStatus = LeaseStatus(),
    val ledger: LedgerStatus = LedgerStatus(),
    /** Memory held for request bodies and stream buffers. */
    val heldBytes: Long = 0,
)

/** Describes one document in force. */
@Serializable
public data class TableStatus(
    val name: String,
    /** Version in force; zero while none has been accepted. */
    val version: TableVersion = TableVersion.NONE,
    /** Time since the platform last confirmed the document; null while it never has. */
    val ageMillis: Long? = null,
    /** Highest version that was refused; null while none was refused since the version in force. */
    val refusedVersion: TableVersion? = null,
)

/** Describes one endpoint as the instance sees it. */
@Serializable
public data class EndpointStatus(
    val id: EndpointId,
    val dataCentre: DataCentreId,
    val state: EndpointState = EndpointState.ACTIVE,
    val cold: Boolean = false,
    val budgetTokens: Long = 0,
    /** Tokens held according to the last load report. */
    val usedTokens: Long = 0,
    /** Tokens that leases of all instances cover, as far as known here. */
    val leasedTokens: Long = 0,
    val runningRequests: Int = 0,
    /** Instance that grants leases on the endpoint; null while none is known. */
    val owner: InstanceId? = null,
)

/** Describes the connection to another instance. */
@Serializable
public data class PeerStatus(
    val instance: InstanceId,
    val reachable: Boolean = false,
    /** Time since the peer was last heard; null while it never was. */
    val silenceMillis: Long? = null,
)

/** Counts the leases that the instance has granted. */
@Serializable
public data class LeaseStatus(val count: Int = 0, val tokens: Long = 0)

/** Describes the ledger of idempotency keys. */
@Serializable
public data class LedgerStatus(
    val keys: Int = 0,
    val bytes: Long = 0,
    /** Whether the instance refuses bookings because it cannot know all keys. */
    val sealed: Boolean = false,
)
