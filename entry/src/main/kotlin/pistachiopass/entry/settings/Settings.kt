/** Settings of the daemon, read from one JSON file at start; [settingsFields] holds the rules that the values keep. */
package pistachiopass.entry.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.entry.logging.HIDDEN
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId

/** Holds all settings of one instance; fields without a default must be given. */
@Serializable
public data class Settings(
    /** Name of the instance, unique over all data centres. */
    val instance: InstanceId,
    /** Data centre of the instance. */
    val dataCentre: DataCentreId,
    /** Host and port on which callers are served. */
    val httpAddress: String,
    /** Host and port on which the other instances are served. */
    val peerAddress: String,
    /** Host and port for metrics, health, readiness and status. */
    val adminAddress: String,
    /** Host and port of the platform's configuration service. */
    val platformAddress: String,
    /** Key shared by all instances, in base64, at least 32 bytes; authenticates peers and signs keys and event ids. */
    val sharedKey: String,
    /** Peers that the instance asks before it knows the published list, each as `instance@host:port`. */
    val peers: List<String> = emptyList(),
    /** How requests get their place on endpoints. */
    val placement: Placement = Placement.PLEDGED,
    /** Bounds on what the instance holds for callers. */
    val limits: LimitSettings = LimitSettings(),
    /** Bounds on idempotency keys and recorded outcomes. */
    val ledger: LedgerSettings = LedgerSettings(),
    /** Keys for TLS; without them all connections are plain. */
    val tls: TlsSettings? = null,
) {
    /** Returns the settings without the shared key. */
    override fun toString(): String =
        "Settings(instance=$instance, dataCentre=$dataCentre, httpAddress=$httpAddress, peerAddress=$peerAddress, " +
            "adminAddress=$adminAddress, platformAddress=$platformAddress, sharedKey=$HIDDEN, peers=$peers, " +
            "placement=$placement, limits=$limits, ledger=$ledger, tls=$tls)"
}

/** Tells how instances share the capacity of endpoints; all instances of a fleet use the same. */
@Serializable
public enum class Placement(public val text: String) {
    /** By leases of an owner, to whom the others pledge their shares. */
    @SerialName("pledged")
    PLEDGED("pledged"),

    /** By load reports and own requests alone; instances together may overrun an endpoint. */
    @SerialName("blind")
    BLIND("blind"),

    /** Each instance uses its own share only. */
    @SerialName("fixed-share")
    FIXED_SHARE("fixed-share"),
}

/** Bounds on what the instance holds for callers. */
@Serializable
public data class LimitSettings(
    /** Longest request body that is read. */
    val bodyBytes: Long = DEFAULT_BODY_MEBIBYTES * MEBIBYTE_BYTES,
    /** Memory for request bodies and stream buffers together. */
    val heldBytes: Long = DEFAULT_HELD_MEBIBYTES * MEBIBYTE_BYTES,
    /** Buffer of one stream. */
    val streamBufferBytes: Int = DEFAULT_STREAM_BUFFER_KIBIBYTES * KIBIBYTE_BYTES,
    /** Longest time for which a caller may take no byte of its answer. */
    val stallMillis: Long = 30_000,
    /** Longest silence on an open connection to an endpoint. */
    val readIdleMillis: Long = 5_000,
    /** Longest time from the stop signal to the end of the process. */
    val stopMillis: Long = 120_000,
)

/** Bounds on idempotency keys and recorded outcomes. */
@Serializable
public data class LedgerSettings(
    /** Keys that the instance holds at a time. */
    val keys: Int = 10_000,
    /** Memory for keys, recorded outcomes and running bookings. */
    val heldBytes: Long = DEFAULT_LEDGER_MEBIBYTES * MEBIBYTE_BYTES,
    /** Longest body of a booking, and longest answer that is recorded. */
    val recordBytes: Int = DEFAULT_RECORD_KIBIBYTES * KIBIBYTE_BYTES,
    /** Time for which an unused key may be used, and for which an outcome is kept. */
    val keyMillis: Long = 3_600_000,
    /** Longest silence of a service that has been sent a booking. */
    val answerMillis: Long = 60_000,
)

/** Keys for TLS towards callers and between instances. */
@Serializable
public data class TlsSettings(
    /** PKCS #12 file with the instance's key and certificate chain. */
    val keyStoreFile: String,
    /** File that holds the password of the key store. */
    val keyStorePasswordFile: String,
    /** PKCS #12 file with the certificates that peers are checked against. */
    val trustStoreFile: String,
    /** File that holds the password of the trust store. */
    val trustStorePasswordFile: String,
)

private const val KIBIBYTE_BYTES: Int = 1024
private const val MEBIBYTE_BYTES: Long = 1024L * 1024
private const val DEFAULT_BODY_MEBIBYTES: Long = 16
private const val DEFAULT_HELD_MEBIBYTES: Long = 64
private const val DEFAULT_LEDGER_MEBIBYTES: Long = 16
private const val DEFAULT_RECORD_KIBIBYTES: Int = 64
private const val DEFAULT_STREAM_BUFFER_KIBIBYTES: Int = 64
