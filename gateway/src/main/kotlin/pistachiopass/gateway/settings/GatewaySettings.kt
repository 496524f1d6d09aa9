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

/** Holds all settings; fields without a default must be given. */
@Serializable
public data class GatewaySettings(
    val instance: InstanceId,
    val dataCentre: DataCentreId,
    /** Address on which callers are served. */
    val callerAddress: String,
    /** Address of the readiness probe. */
    val readyAddress: String,
    /** Address on which instances find each other. */
    val controlAddress: String,
    /** First of the ports that are free for traffic between instances; the same on all instances. */
    val peerPort: Int,
    /** Control addresses of some instances; they may be gone. */
    val seeds: List<String> = emptyList(),
    val storeAddress: String,
    val bounds: BoundSettings,
)

/** Bounds that the operators state for the deployment; a deployment without the matter states none. */
@Serializable
public data class BoundSettings(
    /** Time from the acknowledgement of a key's removal until no request of it may run. */
    val revokeMillis: Double = 5_000.0,
    /** Time from SIGTERM to SIGKILL. */
    val graceSeconds: Double = 8.0,
    /** Repeats as a share of requests, summed over all instances. */
    val repeatShare: Double = 0.1,
    /** Repeats beyond that share in one window, summed over all instances. */
    val repeatSlack: Double = 0.0,
    val repeatWindowSeconds: Double = 10.0,
    /** Factor and addend on a cold endpoint's published rate, summed over all instances. */
    val coldFactor: Double = 1.0,
    val coldSlack: Double = 0.0,
    /** Longest time for which a reservation may be asked. */
    val holdMaxMillis: Double = 20_000.0,
    /** Time after a request's end in which memory that was set aside for it must be free. */
    val freeMillis: Double = 4_000.0,
)

/** Returns the settings in [text], or a text that names the field and what is wrong. */
public fun readGatewaySettings(text: String): Result<GatewaySettings, String> =
    try {
        Ok(settingsJson.decodeFromString(GatewaySettings.serializer(), text))
    } catch (e: SerializationException) {
        Err(e.message.orEmpty().lineSequence().first())
    }

private val settingsJson: Json = Json { ignoreUnknownKeys = true }
