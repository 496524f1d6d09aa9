/** Runs one case on a fleet of its own and checks its history. */
package pistachiopass.proof.matrix

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.Endpoint
import pistachiopass.proof.check.Violation
import pistachiopass.proof.check.checkAll
import pistachiopass.proof.harness.Callers
import pistachiopass.proof.harness.Collector
import pistachiopass.proof.harness.Fleet
import pistachiopass.proof.harness.startFleet
import pistachiopass.proof.history.History
import pistachiopass.proof.history.MemorySampled
import pistachiopass.proof.history.Recorder
import java.nio.file.Path

/** What a case came to. */
public class CaseResult(
    public val case: ProofCase,
    public val violations: List<Violation>,
    /** Whether every instance answered requests after the faults. */
    public val recovered: Boolean,
    public val history: History,
) {
    /** Whether nothing was wrong. */
    public val holds: Boolean get() = violations.isEmpty() && recovered
}

/** Runs cases with process logs below [logDirectory]. */
public class CaseRunner(private val logDirectory: Path) {
    /** Runs [case] and returns its result; all processes have ended then. */
    public suspend fun run(case: ProofCase): CaseResult = withContext(Dispatchers.Default) {
        val recorder = Recorder()
        startFleet(recorder, logDirectory).use { fleet ->
            Callers(recorder).use { callers ->
                fleet.awaitReady()
                val recovered = CaseRun(case, fleet, recorder, callers).run()
                val history = recorder.history()
                CaseResult(case, checkAll(history), recovered, history)
            }
        }
    }
}

private class CaseRun(
    private val case: ProofCase,
    private val fleet: Fleet,
    private val recorder: Recorder,
    callers: Callers,
) {
    private val traffic = Traffic(fleet, callers, recorder, case.seed)
    private val probe = Probe(fleet, callers, recorder)
    private val instance = fleet.layout.instances.instances.first()

    /** Returns whether all instances answer at the end. */
    suspend fun run(): Boolean = coroutineScope {
        val collector = Collector(fleet, recorder).also { it.start(this) }
        val endpoint = endpoint()
        val background = launch { traffic.runBackground() }
        injectAtStep(FaultTarget(fleet, recorder, endpoint, instance))
        background.cancelAndJoin()
        val recovered = traffic.awaitAnswersEverywhere()
        awaitFreeEngines()
        collector.finish()
        recovered
    }

    private suspend fun endpoint(): Endpoint = when (case.step.point) {
        Point.MODEL_REQUEST -> probe.engineOfProbe(instance)
        else -> fleet.layout.plains.first { it.dataCentre == instance.dataCentre }
    }

    private suspend fun injectAtStep(target: FaultTarget): Unit = coroutineScope {
        when (case.step.point) {
            Point.MODEL_REQUEST -> injectAtModelRequest(target)
            Point.BOOKING -> injectAtBooking(target)
            Point.TABLES -> injectAtPublishing(target)
        }
    }

    private suspend fun CoroutineScope.injectAtModelRequest(target: FaultTarget) {
        if (case.step == Step.WAITING) case.inject(target)
        val asked = async { probe.askProbe(instance) }
        when (case.step) {
            Step.BEFORE_FIRST_CHUNK -> probe.awaitProbeAt(target.endpoint, asked)
            Step.BETWEEN_CHUNKS -> probe.awaitProbeChunks(FEW_CHUNKS, asked)
            Step.AT_END -> probe.awaitProbeChunks(PROBE_ANSWER_TOKENS - 2, asked)
            else -> Unit
        }
        if (case.step != Step.WAITING) case.inject(target)
        delay(holdMillis())
        case.clear(target)
        asked.await()
    }

    private suspend fun CoroutineScope.injectAtBooking(target: FaultTarget) {
        if (case.step == Step.BEFORE_SEND) case.inject(target)
        if (case.step == Step.SENT) probe.slowDown(target.endpoint, isOn = true)
        val booking = async { traffic.bookProbe(instance) }
        if (case.step == Step.ANSWERED) booking.await()
        if (case.step == Step.SENT) delay(SENT_MILLIS)
        if (case.step != Step.BEFORE_SEND) case.inject(target)
        if (case.step == Step.ANSWERED) launch { traffic.bookProbe(instance) }
        delay(holdMillis())
        case.clear(target)
        if (case.step == Step.SENT) probe.slowDown(target.endpoint, isOn = false)
        booking.await()
    }

    private suspend fun injectAtPublishing(target: FaultTarget) {
        val centre = fleet.layout.instances.instances.last().dataCentre
        case.inject(target)
        if (case.step == Step.PUBLISHING) fleet.operators.publishDataCentre(centre, isOut = true)
        delay(holdMillis())
        case.clear(target)
        if (case.step == Step.WATCHING) fleet.operators.publishDataCentre(centre, isOut = true)
        traffic.awaitPoolsInForce()
        delay(HOLD_MILLIS)
    }

    private fun holdMillis(): Long = if (case.faults.any { it in PUBLISHED_FAULTS }) OUT_MILLIS else HOLD_MILLIS

    private suspend fun awaitFreeEngines() {
        withTimeoutOrNull(FREE_LIMIT_MILLIS) {
            while (!recorder.history().areEnginesFree()) delay(POLL_MILLIS)
        }
    }
}

private suspend fun ProofCase.inject(target: FaultTarget): Unit = faults.forEach { it.inject(target) }

private suspend fun ProofCase.clear(target: FaultTarget): Unit = faults.distinct().forEach { it.clear(target) }

private fun History.areEnginesFree(): Boolean =
    all<MemorySampled>().associateBy { it.endpoint }.values.all { it.heldRequests.isEmpty() }

private val PUBLISHED_FAULTS: Set<Fault> = setOf(Fault.DATA_CENTRE_OUT, Fault.ENDPOINT_LEAVING)
private const val FEW_CHUNKS: Int = 10
private const val HOLD_MILLIS: Long = 2_500
private const val OUT_MILLIS: Long = 5_000
private const val SENT_MILLIS: Long = 300
private const val FREE_LIMIT_MILLIS: Long = 11_000
private const val POLL_MILLIS: Long = 100
