/** The faults of the matrix: what each does to the path and how it ends. */
package pistachiopass.proof.matrix

import pistachiopass.model.Endpoint
import pistachiopass.model.Instance
import pistachiopass.proof.harness.Fleet
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.StopBegun
import pistachiopass.proof.history.StopEnded
import pistachiopass.standins.fault.FaultSetting

/** What a fault affects: the endpoint and the instance that serve the request under test. */
public class FaultTarget(
    internal val fleet: Fleet,
    internal val recorder: Recorder,
    internal val endpoint: Endpoint,
    internal val instance: Instance,
)

/** The faults. */
public enum class Fault(
    /** Name in the table. */
    public val text: String,
    private val onInject: suspend FaultTarget.() -> Unit,
    private val onClear: suspend FaultTarget.() -> Unit = {},
) {
    ENDPOINT_KILL("endpoint killed", { process().kill() }, { process().restart() }),
    ENDPOINT_FREEZE("endpoint frozen", { process().freeze() }, { process().resume() }),
    ENDPOINT_SILENCE("endpoint's connections silent", { switch("silence") }),
    ENDPOINT_TRUNCATE(
        "endpoint's answer cut",
        { switch(FaultSetting("truncate", afterBytes = CUT_AFTER_BYTES, count = 1)) },
        { switch(FaultSetting("truncate", on = false)) },
    ),
    ENDPOINT_RESET(
        "endpoint resets after it ran",
        { switch(FaultSetting("reset", phase = "after", count = 1)) },
        { switch(FaultSetting("reset", on = false)) },
    ),
    ENGINE_RESTART("engine restarted", { switch("restart") }),
    ENGINE_COLD("engine turned cold", { switch("cold") }),
    LATE_CHUNKS(
        "chunks late",
        { switch(FaultSetting("late-chunks", millis = LATE_MILLIS)) },
        { switch(FaultSetting("late-chunks", on = false)) },
    ),
    DOUBLED_CHUNKS(
        "chunks doubled",
        { switch("duplicate-chunks") },
        { switch(FaultSetting("duplicate-chunks", on = false)) },
    ),
    ENDPOINT_LEAVING(
        "endpoint leaving",
        { fleet.operators.publishEndpoint(endpoint.id, isLeaving = true) },
        { fleet.operators.publishEndpoint(endpoint.id, isLeaving = false) },
    ),
    DATA_CENTRE_OUT(
        "data centre out and back",
        { fleet.operators.publishDataCentre(endpoint.dataCentre, isOut = true) },
        { fleet.operators.publishDataCentre(endpoint.dataCentre, isOut = false) },
    ),
    INSTANCE_KILL(
        "instance killed",
        { fleet.instance(instance.id).kill() },
        { fleet.instance(instance.id).restart() },
    ),
    INSTANCE_FREEZE(
        "instance frozen",
        { fleet.instance(instance.id).freeze() },
        { fleet.instance(instance.id).resume() },
    ),
    INSTANCE_STOP("instance stopped in order", { stopInstance() }, { restartStopped() }),
    PLATFORM_ABSENT("platform absent", { platform("absent", true) }, { platform("absent", false) }),
    PLATFORM_STALE("platform stale", { platform("stale", true) }, { platform("stale", false) }),
    ;

    /** Lets the fault begin. */
    public suspend fun inject(target: FaultTarget): Unit = target.onInject()

    /** Ends the fault. */
    public suspend fun clear(target: FaultTarget): Unit = target.onClear()
}

private fun FaultTarget.process() = fleet.endpoint(endpoint.id)

private suspend fun FaultTarget.switch(fault: String): Unit = switch(FaultSetting(fault))

private suspend fun FaultTarget.switch(setting: FaultSetting): Unit = fleet.switchFault(endpoint.address, setting)

private suspend fun FaultTarget.platform(fault: String, isOn: Boolean): Unit =
    fleet.operators.switchPlatform(FaultSetting(fault, isOn))

private fun FaultTarget.stopInstance() {
    recorder.record { StopBegun(it, instance.id) }
    fleet.instance(instance.id).terminate()
}

private fun FaultTarget.restartStopped() {
    val process = fleet.instance(instance.id)
    check(process.awaitEnd(STOP_LIMIT_MILLIS)) { "instance ${instance.id} did not stop" }
    recorder.record { StopEnded(it, instance.id) }
    process.restart()
}

private const val CUT_AFTER_BYTES: Long = 2_000
private const val LATE_MILLIS: Long = 200
private const val STOP_LIMIT_MILLIS: Long = 30_000
