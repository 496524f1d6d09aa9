/**
 * Catalogue of the settings, with the rule and the meaning of each field of [Settings].
 *
 * The reader, the schema and docs/SETTINGS.md are based on it. The classes determine which fields are required and
 * which defaults they have.
 */
package pistachiopass.entry.settings

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.long

/** Field at [path]; the value of a [secret] field is never printed. */
internal data class SettingsField(
    val path: String,
    val rule: FieldRule,
    val meaning: String,
    val secret: Boolean = false,
)

/** Rule for the values of two fields; errors are reported for [path]. */
internal data class PairRule(
    val path: String,
    val other: String,
    val expected: String,
    val accepts: (JsonPrimitive, JsonPrimitive) -> Boolean,
)

private const val KIBIBYTE: Long = 1024
private const val MEBIBYTE: Long = 1024 * KIBIBYTE
private const val GIBIBYTE: Long = 1024 * MEBIBYTE
private const val HELD_MAX_GIBIBYTES: Long = 64
private const val STREAM_BUFFER_MAX_MEBIBYTES: Long = 16
private const val PEERS_MAX: Int = 64
private const val TIME_MIN_MILLIS: Long = 100
private const val TIME_MAX_MILLIS: Long = 3_600_000
private val BODY_RANGE = RangeRule(KIBIBYTE..GIBIBYTE, "bytes")
private val HELD_RANGE = RangeRule(KIBIBYTE..HELD_MAX_GIBIBYTES * GIBIBYTE, "bytes")
private val STREAM_BUFFER_RANGE = RangeRule(KIBIBYTE..STREAM_BUFFER_MAX_MEBIBYTES * MEBIBYTE, "bytes")
private const val KEYS_MAX: Long = 1_000_000
private const val KEY_TIME_MAX_MILLIS: Long = 86_400_000
private val KEYS_RANGE = RangeRule(1..KEYS_MAX, "keys")
private val RECORD_RANGE = RangeRule(KIBIBYTE..MEBIBYTE, "bytes")
private val KEY_TIME_RANGE = RangeRule(TIME_MIN_MILLIS..KEY_TIME_MAX_MILLIS, "milliseconds")
private val TIME_RANGE = RangeRule(TIME_MIN_MILLIS..TIME_MAX_MILLIS, "milliseconds")

internal val settingsFields: List<SettingsField> =
    listOf(
        SettingsField("instance", NameRule, "Name of the instance, unique over all data centres."),
        SettingsField("dataCentre", NameRule, "Data centre of the instance."),
        SettingsField("httpAddress", AddressRule(portMin = 0), "Host and port on which callers are served."),
        SettingsField(
            "peerAddress",
            AddressRule(portMin = 0),
            "Host and port on which the other instances are served.",
        ),
        SettingsField(
            "adminAddress",
            AddressRule(portMin = 0),
            "Host and port on which metrics, health, readiness and status are served.",
        ),
        SettingsField(
            "platformAddress",
            AddressRule(portMin = 1),
            "Host and port of the platform's configuration service.",
        ),
        SettingsField(
            "sharedKey",
            KeyRule,
            "Key shared by all instances; authenticates peers and signs keys and event ids.",
            secret = true,
        ),
        SettingsField(
            "peers",
            ListRule(BootstrapPeerRule, PEERS_MAX),
            "Peers to ask for the tables at start, before the published instance list is known.",
        ),
        SettingsField(
            "placement",
            ChoiceRule(Placement.entries.map { it.text }),
            "How instances share endpoints; all but the first are baselines for measurements.",
        ),
        SettingsField("limits.bodyBytes", BODY_RANGE, "Greatest accepted size of a request body."),
        SettingsField("limits.heldBytes", HELD_RANGE, "Memory for request bodies and stream buffers together."),
        SettingsField("limits.streamBufferBytes", STREAM_BUFFER_RANGE, "Size of the buffer of one stream."),
        SettingsField(
            "limits.stallMillis",
            TIME_RANGE,
            "Longest time for which a caller may accept no byte of its response.",
        ),
        SettingsField(
            "limits.readIdleMillis",
            TIME_RANGE,
            "Longest time without a byte on an open connection to an endpoint.",
        ),
        SettingsField("limits.stopMillis", TIME_RANGE, "Longest time from the stop signal to the end of the process."),
        SettingsField("ledger.keys", KEYS_RANGE, "Greatest number of idempotency keys that the instance holds."),
        SettingsField("ledger.heldBytes", HELD_RANGE, "Memory for keys, recorded outcomes and running bookings."),
        SettingsField(
            "ledger.recordBytes",
            RECORD_RANGE,
            "Greatest size of the body of a booking and of a recorded response.",
        ),
        SettingsField(
            "ledger.keyMillis",
            KEY_TIME_RANGE,
            "Time for which an unused key is valid, and for which an outcome is kept.",
        ),
        SettingsField(
            "ledger.answerMillis",
            TIME_RANGE,
            "Longest time without a byte on the connection to a service that runs a booking.",
        ),
        SettingsField("tls.keyStoreFile", FileRule, "PKCS #12 file with the instance's key and certificate chain."),
        SettingsField("tls.keyStorePasswordFile", FileRule, "File that holds the password of the key store."),
        SettingsField(
            "tls.trustStoreFile",
            FileRule,
            "PKCS #12 file with the certificates that peers are checked against.",
        ),
        SettingsField("tls.trustStorePasswordFile", FileRule, "File that holds the password of the trust store."),
    )

internal val pairRules: List<PairRule> =
    listOf(
        PairRule("limits.heldBytes", "limits.bodyBytes", "at least limits.bodyBytes", ::isAtLeast),
        PairRule("limits.heldBytes", "limits.streamBufferBytes", "at least limits.streamBufferBytes", ::isAtLeast),
        PairRule("ledger.heldBytes", "ledger.recordBytes", "at least ledger.recordBytes", ::isAtLeast),
        PairRule("peerAddress", "httpAddress", "an address other than httpAddress", ::canBothBind),
        PairRule("adminAddress", "httpAddress", "an address other than httpAddress", ::canBothBind),
        PairRule("adminAddress", "peerAddress", "an address other than peerAddress", ::canBothBind),
    )

/** Returns the default of the field at [path], or null if the field is required. */
internal fun defaultOrNull(path: String): JsonElement? =
    when (path) {
        "peers" -> JsonArray(emptyList())
        "placement" -> JsonPrimitive(Placement.PLEDGED.text)
        else -> groupDefaults[path.substringBefore('.')]?.get(path.substringAfter('.'))
    }

private fun isAtLeast(value: JsonPrimitive, other: JsonPrimitive): Boolean = value.long >= other.long

private fun canBothBind(address: JsonPrimitive, other: JsonPrimitive): Boolean =
    address != other || address.content.endsWith(":0")

private val groupDefaults: Map<String, JsonObject> =
    mapOf("limits" to defaultsOf(LimitSettings()), "ledger" to defaultsOf(LedgerSettings()))

private inline fun <reified T> defaultsOf(group: T): JsonObject =
    Json { encodeDefaults = true }.encodeToJsonElement(group) as JsonObject
