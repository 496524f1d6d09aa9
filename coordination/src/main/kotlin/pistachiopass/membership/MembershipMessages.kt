/** Members of a fleet, and the datagrams by which instances learn of each other. */
package pistachiopass.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.DataCentreId

/** Host of an instance, by which it is reached; the ports are the same on all instances. */
@Serializable
@JvmInline
public value class MemberHost(public val value: String) : Comparable<MemberHost> {
    override fun compareTo(other: MemberHost): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** An instance; its [incarnation] rises with each start and with each refutation of its failure. */
@Serializable
public data class Member(
    @SerialName("h") val host: MemberHost,
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("i") val incarnation: Long,
)

/** What is believed of a member. */
public enum class MemberStatus {
    ALIVE,

    /** Does not answer; counts as failed unless it refutes that in time. */
    SUSPECT,

    /** Failed, or has said that it stops. */
    DEAD,
}

/** States what the sender believes of a member. */
@Serializable
public data class MemberUpdate(
    @SerialName("m") val member: Member,
    @SerialName("s") val status: MemberStatus = MemberStatus.ALIVE,
)

/** A datagram of the membership protocol. Each carries updates about some members. */
@Serializable
public sealed interface MembershipMessage {
    public val updates: List<MemberUpdate>

    /** Numbers of instances by data centre. */
    public val counts: List<InstanceCount> get() = emptyList()
}

/** Asks the receiver for an [Ack] with the same [sequence]. */
@Serializable
@SerialName("mp")
public data class Ping(
    @SerialName("n") val sequence: Long,
    @SerialName("f") val from: Member,
    @SerialName("u") override val updates: List<MemberUpdate>,
    @SerialName("c") override val counts: List<InstanceCount>,
) : MembershipMessage

/** Answers a [Ping], or a [PingRequest] whose target answered. */
@Serializable
@SerialName("ma")
public data class Ack(
    @SerialName("n") val sequence: Long,
    @SerialName("u") override val updates: List<MemberUpdate>,
    @SerialName("c") override val counts: List<InstanceCount>,
) : MembershipMessage

/** Asks the receiver to ping [target] and to pass its answer on; the sender got none itself. */
@Serializable
@SerialName("mr")
public data class PingRequest(
    @SerialName("n") val sequence: Long,
    @SerialName("t") val target: MemberHost,
    @SerialName("u") override val updates: List<MemberUpdate>,
) : MembershipMessage

/** States that the sender stops. */
@Serializable
@SerialName("ml")
public data class Leave(@SerialName("u") override val updates: List<MemberUpdate>) : MembershipMessage

/** A message and where to send it. */
public class MembershipDatagram(public val to: MemberHost, public val message: MembershipMessage)
