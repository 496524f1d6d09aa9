/** Messages between the instances that pledge, grant and hold capacity. */
package pistachiopass.capacity

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.WorkspaceId
import pistachiopass.peer.PeerMessageType
import pistachiopass.peer.peerMessageTypeOf

/** A reading of an owner's clock; readings of different incarnations cannot be compared. */
@Serializable
public data class OwnerTime(val startId: StartId, val millis: Long)

/** Pledges [share] of an endpoint to the receiver. */
@Serializable
public data class EndpointPledge(val endpoint: EndpointId, val share: Share)

/** Names a lease whose request is running or about to be sent. */
@Serializable
public data class RunningLease(val endpoint: EndpointId, val lease: RequestId)

/** What an instance tells an owner about once a second, for all endpoints at once. */
@Serializable
public data class Heartbeat(
    /** Rises with each heartbeat of one incarnation, so that a late one is recognised. */
    val sequence: Long,
    /** The receiver's clock as it last told it; pledges count from it. */
    val echoed: OwnerTime? = null,
    val pledges: List<EndpointPledge> = emptyList(),
    val running: List<RunningLease> = emptyList(),
)

/** Describes the load of an endpoint as its owner sees it. */
@Serializable
public data class EndpointSummary(
    val endpoint: EndpointId,
    val cold: Boolean,
    val silent: Boolean,
    val held: Capacity,
)

/** The owner's answer to a heartbeat. */
@Serializable
public data class HeartbeatAnswer(val time: OwnerTime, val loads: List<EndpointSummary> = emptyList())

/** Asks the owner of [endpoint] for capacity. */
@Serializable
public data class LeaseRequest(
    val requestId: RequestId,
    val endpoint: EndpointId,
    val needed: Capacity,
    val workspace: WorkspaceId,
    val promptTokens: Long,
    /** Time until the request's deadline. */
    val remainingMillis: Long,
    /** Longest time that the request may wait in the owner's queue; zero for an answer at once. */
    val waitMillis: Long = 0,
)

/** Capacity that the holder may use for one request. */
@Serializable
public data class LeaseGrant(
    val lease: RequestId,
    /** The owner's clock when it granted. */
    val grantedAt: OwnerTime,
    /** Reading of the owner's clock from which on the request must not be sent any more. */
    val sendUntilMillis: Long,
)

/** Says why an owner grants no lease. */
@Serializable
public enum class LeaseRefusal {
    /** The receiver is not the published owner of the endpoint and holds no pledges for it. */
    @SerialName("not-owner")
    NOT_OWNER,

    /** The endpoint is leaving or its data centre is out. */
    @SerialName("closed")
    CLOSED,

    /** The request exceeds the endpoint. */
    @SerialName("too-large")
    TOO_LARGE,

    /** The endpoint has given no load report yet. */
    @SerialName("no-report")
    NO_REPORT,

    /** The endpoint holds too much. */
    @SerialName("full")
    FULL,

    /** The endpoint holds too much for its cold start. */
    @SerialName("cold-full")
    COLD_FULL,

    /** The unexpired pledges leave too little. */
    @SerialName("pledges-short")
    PLEDGES_SHORT,

    /** The request cannot make its deadline, or the queue is full. */
    @SerialName("queue")
    QUEUE,
}

/** The owner's answer to a lease request: a grant, or the reason why there is none. */
@Serializable
public data class LeaseReply(val grant: LeaseGrant? = null, val refusal: LeaseRefusal? = null)

/** Tells how a request ended; [holdsNothing] whether the endpoint holds nothing for it, now and later. */
@Serializable
public enum class LeaseEnd(public val holdsNothing: Boolean) {
    /** The endpoint answered in full and has freed its memory. */
    @SerialName("completed")
    COMPLETED(holdsNothing = true),

    /** The request was not sent, or was cancelled and the endpoint confirmed it. */
    @SerialName("freed")
    FREED(holdsNothing = true),

    /** Nothing is known of what the endpoint holds. */
    @SerialName("unconfirmed")
    UNCONFIRMED(holdsNothing = false),

    /** The endpoint failed during the request; what it holds is not known. */
    @SerialName("failed")
    FAILED(holdsNothing = false),
}

/** Gives a lease back. */
@Serializable
public data class LeaseRelease(
    val endpoint: EndpointId,
    val lease: RequestId,
    val end: LeaseEnd,
)

/** Confirms that a release was taken note of. */
@Serializable
public data class LeaseReleased(val lease: RequestId)

/** Carries pledges and renewals. */
public val HEARTBEAT: PeerMessageType<Heartbeat> = peerMessageTypeOf("capacity-heartbeat")

/** Answers [HEARTBEAT]. */
public val HEARTBEAT_ANSWER: PeerMessageType<HeartbeatAnswer> = peerMessageTypeOf("capacity-heartbeat-answer")

/** Asks for a lease. */
public val LEASE_REQUEST: PeerMessageType<LeaseRequest> = peerMessageTypeOf("lease-request")

/** Answers [LEASE_REQUEST]. */
public val LEASE_REPLY: PeerMessageType<LeaseReply> = peerMessageTypeOf("lease-reply")

/** Gives a lease back. */
public val LEASE_RELEASE: PeerMessageType<LeaseRelease> = peerMessageTypeOf("lease-release")

/** Answers [LEASE_RELEASE]. */
public val LEASE_RELEASED: PeerMessageType<LeaseReleased> = peerMessageTypeOf("lease-released")
