/** Settings of an instance on a platform that publishes its state in a store. */
package pistachiopass.gateway.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import pistachiopass.gateway.model.addressOrNull
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId
import pistachiopass.model.UnreadPart
import pistachiopass.model.withoutByteOrderMark

/** All settings; those without a default are required. */
@Serializable
public data class GatewaySettings(
    val instance: InstanceId,
    val dataCentre: DataCentreId,
    /** Address at which callers are served. */
    val callerAddress: String,
    /** Address of the readiness probe. */
    val readyAddress: String,
    /** Address at which the other instances find this one. */
    val controlAddress: String,
    /** First of the ports that are reserved for traffic between instances; the same on all instances. */
    val peerPort: Int,
    /** Control addresses at which this instance looks for others; the instances there need not be running. */
    val seeds: List<String> = emptyList(),
    val storeAddress: String,
    val bounds: BoundSettings,
)

/** Limits that the operators set for the deployment; one that does not apply to it is left out. */
@Serializable
public data class BoundSettings(
    /** Longest time after the acknowledged removal of an API key in which a request with it may still be executed. */
    val revokeMillis: Double = 5_000.0,
    /** Time from SIGTERM to SIGKILL. */
    val graceSeconds: Double = 8.0,
    /** Retries as a share of requests, summed over all instances. */
    val repeatShare: Double = 0.1,
    /** Retries in one window beyond that share, summed over all instances. */
    val repeatSlack: Double = 0.0,
    val repeatWindowSeconds: Double = 10.0,
    /** Factor on the published request rate of a cold endpoint, which gives the limit for all instances together. */
    val coldFactor: Double = 1.0,
    /** Requests per second that are added to that limit. */
    val coldSlack: Double = 0.0,
    /** Longest time for which a reservation may be requested. */
    val holdMaxMillis: Double = 20_000.0,
    /** Time after the end of a request within which the memory reserved for it must be free. */
    val freeMillis: Double = 4_000.0,
)

/** Settings, and what of them could not be read. */
public class LoadedSettings(public val settings: GatewaySettings, public val unread: List<UnreadPart>)

/**
 * Returns the settings in the JSON [text], or a message that names the field and what is wrong.
 *
 * A bound or a seed that cannot be read keeps no other setting from being used: the bound stays as it is in [held], and
 * the seed is left out. Numbers are read in any form that JSON has for them.
 */
public fun readGatewaySettings(text: String, held: BoundSettings = BoundSettings()): Result<LoadedSettings, String> =
    try {
        val fields = settingsJson.parseToJsonElement(text.withoutByteOrderMark()).jsonObject
        val unread = ArrayList<UnreadPart>()
        val seeds = (fields["seeds"] as? JsonArray).orEmpty().filterIndexed { index, seed ->
            val isAddress = (seed as? JsonPrimitive)?.let { addressOrNull(it.content) } != null
            isAddress.also { if (!it) unread += UnreadPart("seeds[$index]", "not-an-address") }
        }
        val port = fields["peerPort"]?.let(::numberOrNull)?.let { JsonPrimitive(it.toInt()) }
        val bounds = JsonObject(readableBounds(fields["bounds"], held, unread))
        val readable = fields + mapOf("seeds" to JsonArray(seeds), "bounds" to bounds) +
            listOfNotNull(port?.let { "peerPort" to it })
        val settings = settingsJson.decodeFromJsonElement(GatewaySettings.serializer(), JsonObject(readable))
        Ok(LoadedSettings(settings, unread))
    } catch (e: SerializationException) {
        Err(e.message.orEmpty().lineSequence().first())
    } catch (e: IllegalArgumentException) {
        Err(e.message.orEmpty().lineSequence().first())
    }

private fun readableBounds(
    element: JsonElement?,
    held: BoundSettings,
    unread: MutableList<UnreadPart>,
): Map<String, JsonElement> {
    val heldBounds = settingsJson.encodeToJsonElement(BoundSettings.serializer(), held).jsonObject
    if (element !is JsonObject) {
        unread += UnreadPart("bounds", "not-an-object")
        return heldBounds
    }
    return element.filter { (name, bound) -> name in heldBounds && bound !is JsonNull }.mapValues { (name, bound) ->
        val number = numberOrNull(bound)
        if (number == null) unread += UnreadPart("bounds.$name", "not-a-number-from-0-on")
        number?.let(::JsonPrimitive) ?: heldBounds.getValue(name)
    }
}

private fun numberOrNull(element: JsonElement): Double? =
    (element as? JsonPrimitive)?.content?.toDoubleOrNull()?.takeIf { it >= 0 }?.coerceAtMost(SETTING_MAX)

/** A template may leave a comma behind the last bound that the platform states. */
@OptIn(ExperimentalSerializationApi::class)
private val settingsJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    allowTrailingComma = true
}

/** Far above any setting; sums and products of several settings stay within 64 bits. */
private const val SETTING_MAX: Double = 1e9
