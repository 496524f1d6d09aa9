/** Settings of the daemon, read from one JSON file at start; [settingsFields] holds the rules for the values. */
package pistachiopass.entry.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.entry.logging.HIDDEN
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId

/** All settings of one instance; fields without a default are required. */
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
    /** Peers to ask for the tables before the published instance list is known, each as `instance@host:port`. */
    val peers: List<String> = emptyList(),
    /** How instances share the capacity of endpoints. */
    val placement: Placement = Placement.PLEDGED,
    /** Limits on sizes, memory and times of requests. */
    val limits: LimitSettings = LimitSettings(),
    /** Limits on idempotency keys and recorded outcomes. */
    val ledger: LedgerSettings = LedgerSettings(),
    /** Keys and certificates for TLS; without them no connection is encrypted. */
    val tls: TlsSettings? = null,
) {
    /** Returns the settings without the shared key. */
    override fun toString(): String =
        "Settings(instance=$instance, dataCentre=$dataCentre, httpAddress=$httpAddress, peerAddress=$peerAddress, " +
            "adminAddress=$adminAddress, platformAddress=$platformAddress, sharedKey=$HIDDEN, peers=$peers, " +
            "placement=$placement, limits=$limits, ledger=$ledger, tls=$tls)"
}

/** How instances share the capacity of endpoints; all instances of a fleet use the same mode. */
@Serializable
public enum class Placement(public val text: String) {
    /** Instances lease capacity from an owner, to whom the other instances pledge their shares. */
    @SerialName("pledged")
    PLEDGED("pledged"),

    /** Each instance uses load reports and its own requests only; together the instances may overload an endpoint. */
    @SerialName("blind")
    BLIND("blind"),

    /** Each instance uses its own share only. */
    @SerialName("fixed-share")
    FIXED_SHARE("fixed-share"),
}

/** Limits on sizes, memory and times of requests. */
@Serializable
public data class LimitSettings(
    /** Greatest accepted size of a request body. */
    val bodyBytes: Long = DEFAULT_BODY_MEBIBYTES * MEBIBYTE_BYTES,
    /** Memory for request bodies and stream buffers together. */
    val heldBytes: Long = DEFAULT_HELD_MEBIBYTES * MEBIBYTE_BYTES,
    /** Size of the buffer of one stream. */
    val streamBufferBytes: Int = DEFAULT_STREAM_BUFFER_KIBIBYTES * KIBIBYTE_BYTES,
    /** Longest time for which a caller may accept no byte of its response. */
    val stallMillis: Long = 30_000,
    /** Longest time without a byte on an open connection to an endpoint. */
    val readIdleMillis: Long = 5_000,
    /** Longest time from the stop signal to the end of the process. */
    val stopMillis: Long = 120_000,
)

/** Limits on idempotency keys and recorded outcomes. */
@Serializable
public data class LedgerSettings(
    /** Greatest number of keys that the instance holds. */
    val keys: Int = 10_000,
    /** Memory for keys, recorded outcomes and running bookings. */
    val heldBytes: Long = DEFAULT_LEDGER_MEBIBYTES * MEBIBYTE_BYTES,
    /** Greatest size of the body of a booking and of a recorded response. */
    val recordBytes: Int = DEFAULT_RECORD_KIBIBYTES * KIBIBYTE_BYTES,
    /** Time for which an unused key is valid, and for which an outcome is kept. */
    val keyMillis: Long = 3_600_000,
    /** Longest time without a byte on the connection to a service that runs a booking. */
    val answerMillis: Long = 60_000,
)

/** Keys and certificates for TLS with callers and between instances. */
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
