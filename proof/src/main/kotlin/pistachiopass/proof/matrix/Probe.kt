/** The model request at which faults are injected. */
package pistachiopass.proof.matrix

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.Endpoint
import pistachiopass.model.Instance
import pistachiopass.model.RequestId
import pistachiopass.model.Verdict
import pistachiopass.proof.harness.Callers
import pistachiopass.proof.harness.Fleet
import pistachiopass.proof.harness.ModelRequest
import pistachiopass.proof.history.ChunkReceived
import pistachiopass.proof.history.EndpointWork
import pistachiopass.proof.history.HistoryEvent
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.RequestRefused
import pistachiopass.standins.fault.FaultSetting

/** Sends the model request and waits for its steps. */
internal class Probe(
    private val fleet: Fleet,
    private val callers: Callers,
    private val recorder: Recorder,
) {
    /**
     * Sends a small model request in the probe's workspace and returns the engine that got it. A request that was
     * refused as not run is sent again, since an instance that has just started may still lack load reports.
     */
    suspend fun engineOfProbe(instance: Instance): Endpoint {
        var attempts = 0
        var outcome: HistoryEvent? = null
        withTimeoutOrNull(LIMIT_MILLIS) {
            do {
                if (attempts > 0) delay(REFUSED_RETRY_MILLIS)
                outcome = callers.ask(firstRequest(++attempts), instance)
            } while ((outcome as? RequestRefused)?.verdict == Verdict.NOT_RUN)
        }
        val work = awaitValue { work(firstRequest(attempts).id) }
        checkNotNull(work) { "no engine got any of $attempts requests; the last outcome was $outcome" }
        return fleet.layout.engines.first { it.id == work.endpoint }
    }

    private fun firstRequest(attempt: Int): ModelRequest =
        ModelRequest(RequestId("first-$attempt"), PROBE_PROMPT_TOKENS + attempt, 1, PROBE_WORKSPACE)

    /** Sends the model request at which faults are injected. */
    suspend fun askProbe(instance: Instance): HistoryEvent? =
        callers.ask(ModelRequest(PROBE, PROBE_PROMPT_TOKENS, PROBE_ANSWER_TOKENS, PROBE_WORKSPACE), instance)

    /** Returns once the engine has the probe or it has ended. */
    suspend fun awaitProbeAt(engine: Endpoint, probe: Deferred<*>) {
        awaitValue { work(PROBE)?.endpoint?.takeIf { it == engine.id } ?: Unit.takeIf { probe.isCompleted } }
    }

    /** Returns once the probe's caller has [count] chunks or the probe has ended. */
    suspend fun awaitProbeChunks(count: Int, probe: Deferred<*>) {
        awaitValue { Unit.takeIf { probe.isCompleted || probeChunks() >= count } }
    }

    /** Delays the answers of a plain service, or no longer. */
    suspend fun slowDown(plain: Endpoint, isOn: Boolean): Unit =
        fleet.switchFault(plain.address, FaultSetting("slow", isOn, SLOW_MILLIS))

    private fun work(request: RequestId): EndpointWork? =
        recorder.history().all<EndpointWork>().lastOrNull { it.request == request }

    private fun probeChunks(): Int = recorder.history().all<ChunkReceived>().count { it.request == PROBE }
}

/** Returns the first value that is not null, or null when none comes within the limit. */
internal suspend fun <T : Any> awaitValue(valueOrNull: () -> T?): T? = withTimeoutOrNull(LIMIT_MILLIS) {
    var value = valueOrNull()
    while (value == null) {
        delay(POLL_MILLIS)
        value = valueOrNull()
    }
    value
}

/** Longest wait for a step of a case. */
internal const val LIMIT_MILLIS: Long = 20_000

/** Tokens of the probe's answer. */
internal const val PROBE_ANSWER_TOKENS: Int = 50

/** Id of the probe, and of its booking. */
internal val PROBE: RequestId = RequestId("probe")
private const val PROBE_WORKSPACE: String = "p"
private const val PROBE_PROMPT_TOKENS: Int = 4_000
private const val REFUSED_RETRY_MILLIS: Long = 300
private const val SLOW_MILLIS: Long = 800
private const val POLL_MILLIS: Long = 20
