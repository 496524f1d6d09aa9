/** Collection of what endpoints and instances say of themselves. */
package pistachiopass.proof.harness

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import pistachiopass.model.Endpoint
import pistachiopass.model.RequestId
import pistachiopass.proof.history.EndpointWork
import pistachiopass.proof.history.MemorySampled
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.RequestRun
import pistachiopass.proof.history.TableInForce
import pistachiopass.standins.plain.RunReport
import pistachiopass.standins.plain.RunsReport
import pistachiopass.status.InstanceStatus
import java.util.concurrent.ConcurrentHashMap

/** Samples the processes of [fleet] into [recorder] from [start] to [finish]. */
public class Collector(private val fleet: Fleet, private val recorder: Recorder) {
    private val runs: ConcurrentHashMap<String, RequestRun> = ConcurrentHashMap()
    private val jobs: MutableList<Job> = mutableListOf()

    /** Starts the sampling in [scope]. */
    public fun start(scope: CoroutineScope) {
        fleet.layout.engines.forEach { engine ->
            val watch = EngineWatch(engine)
            jobs += scope.launch { repeatSampling { watch.sample() } }
        }
        fleet.layout.plains.forEach { plain ->
            val watch = PlainWatch(plain)
            jobs += scope.launch { repeatSampling { watch.sample() } }
        }
        fleet.layout.adminPorts.values.forEach { port ->
            jobs += scope.launch { repeatSampling { sampleInstance(port) } }
        }
    }

    /** Ends the sampling and records all runs that were seen. */
    public suspend fun finish() {
        delay(LAST_SAMPLES_MILLIS)
        jobs.forEach { it.cancelAndJoin() }
        runs.values.forEach { run -> recorder.record { run } }
    }

    private suspend fun repeatSampling(sample: suspend () -> Unit) {
        while (true) {
            sample()
            delay(SAMPLE_PERIOD_MILLIS)
        }
    }

    private suspend fun sampleInstance(port: Int) {
        val status = fleet.control.getOrNull<InstanceStatus>("127.0.0.1:$port", "/status") ?: return
        if (!status.ready) return
        status.tables.forEach { table ->
            recorder.record { TableInForce(it, status.instance, status.startId, table.name, table.version) }
        }
    }

    private inner class EngineWatch(private val engine: Endpoint) {
        private var lastMillis: Long = recorder.nowMillis()

        suspend fun sample() {
            val startMillis = recorder.nowMillis()
            val record = fleet.control.getOrNull<EngineRecord>(engine.address, "/admin/record") ?: return
            record.requests.filter { it.outcome != REFUSED }.forEach(::addRun)
            fleet.control.getOrNull<EngineLoad>(engine.address, "/v1/load")?.let { addMemory(record, it) }
            lastMillis = startMillis
        }

        private fun addRun(request: EngineRequest) {
            val id = callerIdOf(request.id)
            val run = RequestRun(lastMillis, engine.id, id, stream = request.streamId)
            if (runs.putIfAbsent("${engine.id}/${request.streamId}", run) == null) {
                recorder.record { EndpointWork(run.atMillis, engine.id, engine.dataCentre, id) }
            }
        }

        private fun addMemory(record: EngineRecord, load: EngineLoad): Unit = recorder.record { atMillis ->
            MemorySampled(
                atMillis,
                engine.id,
                ENGINE_LIMITS,
                record.maxUsedTokens,
                record.maxColdTokens,
                record.maxColdRequests,
                load.requests.map { callerIdOf(it.id) }.toSet(),
            )
        }
    }

    private inner class PlainWatch(private val plain: Endpoint) {
        private var lastMillis: Long = recorder.nowMillis()
        private var last: List<RunReport> = emptyList()
        private var life: Int = 0

        suspend fun sample() {
            val startMillis = recorder.nowMillis()
            val report = fleet.control.getOrNull<RunsReport>(plain.address, "/admin/runs")?.runs ?: return
            if (report.sumOf { it.count } < last.sumOf { it.count }) life++
            report.filter { it.requestId != null }.forEach(::addRun)
            last = report
            lastMillis = startMillis
        }

        private fun addRun(report: RunReport) {
            val id = callerIdOf(report.requestId.orEmpty())
            val run = RequestRun(lastMillis, plain.id, id, booking = report.bodyHash, count = report.count)
            if (runs.put("${plain.id}/$life/${report.requestId}/${report.bodyHash}", run) == null) {
                recorder.record { EndpointWork(run.atMillis, plain.id, plain.dataCentre, id) }
            }
        }
    }
}

/** Returns the caller's request id; endpoints may see it with a suffix for each attempt. */
private fun callerIdOf(id: String): RequestId = RequestId(id.takeWhile { it.isLetterOrDigit() || it == '-' })

@Serializable
internal data class EngineRecord(
    val requests: List<EngineRequest>,
    val maxUsedTokens: Long,
    val maxColdTokens: Long,
    val maxColdRequests: Int,
)

@Serializable
internal data class EngineRequest(val id: String, val streamId: String? = null, val outcome: String = "")

@Serializable
internal data class EngineLoad(val requests: List<EngineRequest>)

private const val REFUSED: String = "refused"
private const val SAMPLE_PERIOD_MILLIS: Long = 100
private const val LAST_SAMPLES_MILLIS: Long = 500
