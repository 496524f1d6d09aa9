/**
 * The status of one instance, served as JSON at [STATUS_PATH] of its admin address.
 *
 * Fields have defaults and readers ignore unknown fields, so that instances and tools of different releases are
 * compatible.
 */
package pistachiopass.status

import kotlinx.serialization.Serializable
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.model.TableVersion
import pistachiopass.model.UnreadPart

/** Path of the status at the admin address. */
public const val STATUS_PATH: String = "/status"

/** Snapshot of the state of one instance. */
@Serializable
public data class InstanceStatus(
    val instance: InstanceId,
    val dataCentre: DataCentreId,
    val startId: StartId = StartId(""),
    /** Whether the load balancer may send new requests to the instance. */
    val ready: Boolean = false,
    val uptimeMillis: Long = 0,
    val tables: List<TableStatus> = emptyList(),
    val endpoints: List<EndpointStatus> = emptyList(),
    val peers: List<PeerStatus> = emptyList(),
    val leases: LeaseStatus = LeaseStatus(),
    val ledger: LedgerStatus = LedgerStatus(),
    /** Memory held for request bodies and stream buffers. */
    val heldBytes: Long = 0,
    /** Parts of the published state and of the settings that could not be read. */
    val unread: List<UnreadPart> = emptyList(),
    /** What is known of the platform's store; null while nothing is. */
    val store: StoreStatus? = null,
)

/** Position in the history of the platform's store up to which an instance knows all published items. */
@Serializable
public data class StoreStatus(
    /** Number of times that the store has returned from an older copy. */
    val era: Long = 0,
    val revision: Long = 0,
    /** Items that are believed from an earlier era against what the store has. */
    val heldItems: Int = 0,
)

/** State of one published document at the instance. */
@Serializable
public data class TableStatus(
    val name: String,
    /** Version in force; [TableVersion.NONE] until one is accepted. */
    val version: TableVersion = TableVersion.NONE,
    /** Time since the platform last confirmed the document; null if it has not done so yet. */
    val ageMillis: Long? = null,
    /** Highest version that was refused since the version in force was accepted, or null if none was. */
    val refusedVersion: TableVersion? = null,
    /** Whether a newer document is published of which nothing could be read. */
    val isOutdated: Boolean = false,
)

/** State of one endpoint, as the instance knows it. */
@Serializable
public data class EndpointStatus(
    val id: EndpointId,
    val dataCentre: DataCentreId,
    val state: EndpointState = EndpointState.ACTIVE,
    val cold: Boolean = false,
    val budgetTokens: Long = 0,
    /** Tokens in use according to the last load report. */
    val usedTokens: Long = 0,
    /** Tokens that leases of all instances reserve, as far as this instance knows. */
    val leasedTokens: Long = 0,
    val runningRequests: Int = 0,
    /** Instance that grants leases on the endpoint, or null if none is known. */
    val owner: InstanceId? = null,
)

/** Reachability of another instance. */
@Serializable
public data class PeerStatus(
    val instance: InstanceId,
    val reachable: Boolean = false,
    /** Time since the last message from the peer, or null if none has arrived. */
    val silenceMillis: Long? = null,
)

/** Number of current leases that the instance has granted, and the tokens that they reserve. */
@Serializable
public data class LeaseStatus(val count: Int = 0, val tokens: Long = 0)

/** State of the ledger of idempotency keys. */
@Serializable
public data class LedgerStatus(
    val keys: Int = 0,
    val bytes: Long = 0,
    /** Whether the instance refuses bookings (requests with an idempotency key) since it cannot know all keys. */
    val sealed: Boolean = false,
)
