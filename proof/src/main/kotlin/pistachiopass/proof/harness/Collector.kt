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
import pistachiopass.proof.history.BodyHash
import pistachiopass.proof.history.EndpointWork
import pistachiopass.proof.history.MemorySampled
import pistachiopass.proof.history.PromptLength
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.RequestContent
import pistachiopass.proof.history.RequestRun
import pistachiopass.proof.history.RequestSent
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

    /** Returns the last request that was sent with [content], or else the id that the endpoint knows. */
    private fun requestOf(content: RequestContent, endpointId: String): RequestId =
        recorder.history().all<RequestSent>().lastOrNull { it.content == content }?.request ?: RequestId(endpointId)

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
            val callerIds = record.requests.associate { it.id to requestOf(PromptLength(it.promptTokens), it.id) }
            record.requests.filter { it.outcome != REFUSED }.forEach { addRun(it, callerIds.getValue(it.id)) }
            fleet.control.getOrNull<EngineLoad>(engine.address, "/v1/load")?.let { load ->
                addMemory(record, load.requests.mapNotNull { callerIds[it.id] }.toSet())
            }
            lastMillis = startMillis
        }

        private fun addRun(request: EngineRequest, id: RequestId) {
            val run = RequestRun(lastMillis, engine.id, id, stream = request.streamId)
            if (runs.putIfAbsent("${engine.id}/${request.streamId}", run) == null) {
                recorder.record { EndpointWork(run.atMillis, it, engine.id, engine.dataCentre, id) }
            }
        }

        private fun addMemory(record: EngineRecord, held: Set<RequestId>): Unit = recorder.record { atMillis ->
            MemorySampled(
                atMillis,
                engine.id,
                ENGINE_LIMITS,
                record.maxUsedTokens,
                record.maxColdTokens,
                record.maxColdRequests,
                held,
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
            val key = "${plain.id}/$life/${report.requestId}/${report.bodyHash}"
            val id = runs[key]?.request ?: requestOf(BodyHash(report.bodyHash), report.requestId.orEmpty())
            val run = RequestRun(lastMillis, plain.id, id, booking = report.bodyHash, count = report.count)
            if (runs.put(key, run) == null) {
                recorder.record { EndpointWork(run.atMillis, it, plain.id, plain.dataCentre, id) }
            }
        }
    }
}

@Serializable
internal data class EngineRecord(
    val requests: List<EngineRequest>,
    val maxUsedTokens: Long,
    val maxColdTokens: Long,
    val maxColdRequests: Int,
)

@Serializable
internal data class EngineRequest(
    val id: String,
    val promptTokens: Int = 0,
    val streamId: String? = null,
    val outcome: String = ""
)

@Serializable
internal data class EngineLoad(val requests: List<EngineRequest>)

private const val REFUSED: String = "refused"
private const val SAMPLE_PERIOD_MILLIS: Long = 100
private const val LAST_SAMPLES_MILLIS: Long = 500
