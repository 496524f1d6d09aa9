/** The processes of the path: platform, engines, plain services and instances. */
package pistachiopass.proof.harness

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.proof.history.Recorder
import pistachiopass.standins.fault.FaultSetting
import java.nio.file.Files
import java.nio.file.Path

/** Holds the running processes of [layout]; [close] kills all of them. */
public class Fleet internal constructor(
    /** Documents and ports. */
    public val layout: FleetLayout,
    recorder: Recorder,
    directory: Path,
) : AutoCloseable {
    /** Calls of the harness itself. */
    public val control: ControlClient = ControlClient()

    /** The operators of the fleet. */
    public val operators: Operators =
        Operators("127.0.0.1:${layout.platformPort}", layout.pools, control, recorder)
    private val starter = ProcessStarter(layout, directory)
    private val platform = starter.startPlatform()
    private val endpoints: Map<EndpointId, ManagedProcess> =
        layout.engines.associate {
            it.id to starter.startEngine(it)
        } + layout.plains.associate { it.id to starter.startPlain(it) }
    private val instances: Map<InstanceId, ManagedProcess> =
        layout.instances.instances.associate { it.id to starter.startInstance(it) }

    /** The process of an instance. */
    public fun instance(id: InstanceId): ManagedProcess = instances.getValue(id)

    /** The process of an endpoint. */
    public fun endpoint(id: EndpointId): ManagedProcess = endpoints.getValue(id)

    /** Returns once all processes answer. */
    public suspend fun awaitReady(): Unit = withTimeout(READY_LIMIT_MILLIS) {
        (layout.engines + layout.plains).forEach { awaitAnswer(it.address, "/v1/load") }
        layout.adminPorts.values.forEach { awaitAnswer("127.0.0.1:$it", "/ready") }
    }

    /** Switches a fault of the stand-in at [address]. */
    public suspend fun switchFault(address: String, setting: FaultSetting) {
        control.textOrNull("POST", address, "/admin/faults", Json.encodeToString(setting))
    }

    override fun close() {
        (instances.values + endpoints.values + platform).forEach { it.close() }
    }

    private suspend fun awaitAnswer(address: String, path: String) {
        while (control.textOrNull("GET", address, path) == null) delay(READY_POLL_MILLIS)
    }
}

/** Starts the processes of a small fleet with logs in a new directory below [parent]. */
public fun startFleet(recorder: Recorder, parent: Path): Fleet {
    Files.createDirectories(parent)
    return Fleet(smallFleetLayout(), recorder, Files.createTempDirectory(parent, "fleet-"))
}

private const val READY_LIMIT_MILLIS: Long = 60_000
private const val READY_POLL_MILLIS: Long = 50
