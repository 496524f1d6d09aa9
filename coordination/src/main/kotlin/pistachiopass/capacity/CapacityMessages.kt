/**
 * Messages between the instances that pledge, grant and hold capacity of endpoints.
 *
 * The instances that hold shares of an endpoint's budget pledge them, for a limited time, to its owner. The owner
 * grants leases out of the pledges; a lease permits its holder to send one request to the endpoint.
 */
package pistachiopass.capacity

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.WorkspaceId
import pistachiopass.peer.PeerMessageType
import pistachiopass.peer.peerMessageTypeOf

/** A reading of an owner's monotonic clock; readings of different incarnations cannot be compared. */
@Serializable
public data class OwnerTime(val startId: StartId, val millis: Long)

/** Pledges [share] of an endpoint to the receiver of the heartbeat. */
@Serializable
public data class EndpointPledge(val endpoint: EndpointId, val share: Share)

/** Identifies a lease whose request is running or about to be sent. */
@Serializable
public data class RunningLease(val endpoint: EndpointId, val lease: RequestId)

/** Carries pledges and lease renewals for all endpoints of one owner; sent about once a second. */
@Serializable
public data class CapacityHeartbeat(
    /**
     * Increases with each heartbeat of one incarnation, so that the receiver can drop one that arrives out of order.
     */
    val sequence: Long,
    /** The receiver's clock as of its last reply; the validity of the pledges counts from this reading. */
    val echoed: OwnerTime? = null,
    val pledges: List<EndpointPledge> = emptyList(),
    val running: List<RunningLease> = emptyList(),
)

/** The load of an endpoint as its owner sees it. */
@Serializable
public data class EndpointSummary(
    val endpoint: EndpointId,
    val cold: Boolean,
    /** Whether the load reports of the endpoint have stopped. */
    val silent: Boolean,
    /** Capacity that is or may be in use, by the leases and the last load report. */
    val held: Capacity,
)

/** The owner's reply to a heartbeat: its clock and the loads of the endpoints that it owns. */
@Serializable
public data class CapacityHeartbeatReply(val time: OwnerTime, val loads: List<EndpointSummary> = emptyList())

/** Asks the owner of [endpoint] for a lease of [needed] capacity. */
@Serializable
public data class LeaseRequest(
    val requestId: RequestId,
    val endpoint: EndpointId,
    val needed: Capacity,
    val workspace: WorkspaceId,
    val promptTokens: Long,
    /** Time until the request's deadline. */
    val remainingMillis: Long,
    /** Maximum time that the request may wait in the owner's queue; zero for an immediate reply. */
    val waitMillis: Long = 0,
)

/** A lease that the holder may use for one request. */
@Serializable
public data class LeaseGrant(
    val lease: RequestId,
    /** The owner's clock at the time of the grant. */
    val grantedAt: OwnerTime,
    /** Reading of the owner's clock from which on the request must no longer be sent. */
    val sendUntilMillis: Long,
)

/** Why an owner grants no lease. */
@Serializable
public enum class LeaseRefusal {
    /** The receiver is not the published owner of the endpoint and holds no pledges for it. */
    @SerialName("not-owner")
    NOT_OWNER,

    /** The endpoint is leaving, or its data centre is out of service. */
    @SerialName("closed")
    CLOSED,

    /** The request needs more than the whole budget of the endpoint. */
    @SerialName("too-large")
    TOO_LARGE,

    /** No load report of the endpoint has been received yet. */
    @SerialName("no-report")
    NO_REPORT,

    /** The budget of the endpoint has too little capacity left. */
    @SerialName("full")
    FULL,

    /** The endpoint is in a cold start, and its reduced limit has too little capacity left. */
    @SerialName("cold-full")
    COLD_FULL,

    /** The unexpired pledges have too little capacity left. */
    @SerialName("pledges-short")
    PLEDGES_SHORT,

    /** The request is predicted to miss its deadline, or the queue is full. */
    @SerialName("queue")
    QUEUE,
}

/** The owner's reply to a lease request: a grant, or the reason why there is none. */
@Serializable
public data class LeaseReply(val grant: LeaseGrant? = null, val refusal: LeaseRefusal? = null)

/** How a request ended; [holdsNothing] says whether the endpoint certainly holds nothing for it, now and later. */
@Serializable
public enum class LeaseEnd(public val holdsNothing: Boolean) {
    /** The endpoint completed its response and has freed its memory. */
    @SerialName("completed")
    COMPLETED(holdsNothing = true),

    /** The request was not sent, or the endpoint confirmed its cancellation. */
    @SerialName("freed")
    FREED(holdsNothing = true),

    /** It is unknown what the endpoint holds for the request. */
    @SerialName("unconfirmed")
    UNCONFIRMED(holdsNothing = false),

    /** The endpoint failed during the request; it is unknown what it holds for it. */
    @SerialName("failed")
    FAILED(holdsNothing = false),
}

/** Releases a lease. */
@Serializable
public data class LeaseRelease(
    val endpoint: EndpointId,
    val lease: RequestId,
    val end: LeaseEnd,
)

/** Confirms that a [LeaseRelease] was processed. */
@Serializable
public data class LeaseReleased(val lease: RequestId)

/** Carries pledges and lease renewals. */
public val CAPACITY_HEARTBEAT: PeerMessageType<CapacityHeartbeat> = peerMessageTypeOf("capacity-heartbeat")

/** Answers [CAPACITY_HEARTBEAT]. */
public val CAPACITY_HEARTBEAT_REPLY: PeerMessageType<CapacityHeartbeatReply> =
    peerMessageTypeOf("capacity-heartbeat-answer")

/** Asks for a lease. */
public val LEASE_REQUEST: PeerMessageType<LeaseRequest> = peerMessageTypeOf("lease-request")

/** Answers [LEASE_REQUEST]. */
public val LEASE_REPLY: PeerMessageType<LeaseReply> = peerMessageTypeOf("lease-reply")

/** Releases a lease. */
public val LEASE_RELEASE: PeerMessageType<LeaseRelease> = peerMessageTypeOf("lease-release")

/** Answers [LEASE_RELEASE]. */
public val LEASE_RELEASED: PeerMessageType<LeaseReleased> = peerMessageTypeOf("lease-released")
