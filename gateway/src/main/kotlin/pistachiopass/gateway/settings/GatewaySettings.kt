/** Settings of an instance on a platform that publishes its state in a store. */
package pistachiopass.gateway.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId

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

/** Returns the settings in the JSON [text], or a message that names the field and what is wrong. */
public fun readGatewaySettings(text: String): Result<GatewaySettings, String> =
    try {
        Ok(settingsJson.decodeFromString(GatewaySettings.serializer(), text))
    } catch (e: SerializationException) {
        Err(e.message.orEmpty().lineSequence().first())
    }

private val settingsJson: Json = Json { ignoreUnknownKeys = true }
