/**
 * A discrete-event simulation, in virtual time, of one owner with several endpoints, each with its own queue.
 *
 * An endpoint has memory, slots and one prefill unit, which processes the most urgent prompt first. After its prefill,
 * a request holds its capacity for a fixed time per token of the answer.
 */
package pistachiopass.queue

import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolName
import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId
import pistachiopass.routing.EndpointLoad
import pistachiopass.routing.FleetView
import pistachiopass.routing.LongPromptEndpoints
import pistachiopass.routing.RequestMetadata
import pistachiopass.routing.affinityChooser
import pistachiopass.routing.promptClassOf
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.TestTimeSource

/** One request of the simulated load and its outcome; times are in microseconds unless the name says otherwise. */
internal class Job(
    val number: Int,
    val workspace: String,
    val promptTokens: Long,
    val answerTokens: Long,
    val arrivalMicros: Long,
    val limitMillis: Long,
) {
    var refusal: Refusal? = null
    var isExpired: Boolean = false
    var tokensAhead: Long = 0
    var startMicros: Long? = null
    var firstTokenMicros: Long? = null
    var endMicros: Long? = null
    var remainingPrefillMicros: Long = promptTokens * PREFILL_MICROS_PER_TOKEN

    val promptClass get() = promptClassOf(promptTokens)
    val waitMillis: Long? get() = startMicros?.let { (it - arrivalMicros) / MICROS_PER_MILLI }
    val runMillis: Long? get() = endMicros?.let { (it - checkNotNull(startMicros)) / MICROS_PER_MILLI }
    val firstTokenMillis: Long? get() = firstTokenMicros?.let { (it - arrivalMicros) / MICROS_PER_MILLI }

    fun toWaitingRequest() = WaitingRequest(
        RequestId("r%06d".format(number)),
        WorkspaceId(workspace),
        promptTokens,
        promptTokens + answerTokens,
        arrivalMicros / MICROS_PER_MILLI,
        arrivalMicros / MICROS_PER_MILLI + limitMillis,
    )
}

/** Configuration of the simulated endpoints. */
internal data class SimulationSetup(
    val policy: QueueFactory = Policy.FAIR,
    val endpoints: Int = 4,
    val isConfined: Boolean = true,
    val hasEnginePriority: Boolean = true,
    val budget: QueueBudget = QueueBudget(300_000, 12),
)

/** Runs [jobs] to their end and records the outcome in them. */
internal fun SimulationSetup.run(jobs: List<Job>): List<Job> {
    Simulation(this).run(jobs)
    return jobs
}

private class Simulation(private val setup: SimulationSetup) {
    private val events = PriorityQueue<Event>(compareBy({ it.micros }, { it.number }))
    private var nowMicros: Long = 0
    private var eventCount: Long = 0
    private val pool = Pool(
        PoolName("p"),
        PoolKind.MODEL,
        List(setup.endpoints) {
            Endpoint(
                EndpointId("e$it"),
                DATA_CENTRE,
                "",
                budgetTokens = setup.budget.tokens,
                slots = setup.budget.slots,
            )
        },
    )
    private val engines = pool.endpoints.associate { it.id to Engine() }
    private val time = TestTimeSource()
    private val confinement = LongPromptEndpoints(DATA_CENTRE, time)

    fun run(jobs: List<Job>) {
        jobs.forEach { job -> at(job.arrivalMicros) { arrive(job) } }
        while (true) {
            val event = events.poll() ?: break
            time += (event.micros - nowMicros).microseconds
            nowMicros = event.micros
            event.action()
        }
    }

    private fun at(micros: Long, action: () -> Unit) {
        events += Event(micros, eventCount++, action)
    }

    private fun arrive(job: Job) {
        val engine = engineFor(job)
        val waiting = job.toWaitingRequest()
        job.tokensAhead = engine.queue.tokensAhead(waiting)
        engine.jobs[waiting.id] = job
        job.refusal = engine.queue.offer(waiting)
        at((waiting.startByMillis) * MICROS_PER_MILLI) { engine.dispatch() }
        engine.dispatch()
    }

    private fun engineFor(job: Job): Engine {
        val choice = affinityChooser().choose(
            RequestMetadata("", WorkspaceId(job.workspace), null, job.promptTokens, job.answerTokens, "${job.number}"),
            pool,
            FleetView(DATA_CENTRE, emptySet(), engines.mapValues { it.value.load() }, confinedTo()),
        )
        val waitingFor = choice.candidates.filter { it.reason.name == "FULL" }.map { engines.getValue(it.endpoint) }
        return choice.endpoint?.let { engines.getValue(it.id) } ?: waitingFor.minBy { it.backlogTokens() }
    }

    private fun confinedTo(): Set<EndpointId> =
        if (setup.isConfined) confinement.endpointsOf(pool) { engines.getValue(it).requestTokens() } else emptySet()

    private inner class Engine {
        val jobs = HashMap<RequestId, Job>()
        private val predictor = firstTokenPredictorOf()
        val queue = setup.policy.create({ nowMicros / MICROS_PER_MILLI }, { setup.budget }, predictor)
        private val running = LinkedHashSet<Job>()
        private var prefilling: Job? = null
        private var prefillSinceMicros: Long = 0

        fun load() = EndpointLoad(heldTokens = held(), heldSlots = running.size + queue.size)

        fun backlogTokens() = held() + queue.tokensAhead(LAST_REQUEST)

        fun requestTokens() = running.map { it.promptTokens + it.answerTokens }

        private fun held() = running.sumOf { it.promptTokens + it.answerTokens }

        fun dispatch() {
            queue.expire(nowMicros / MICROS_PER_MILLI).forEach { abandon(jobs.getValue(it.id)) }
            while (true) {
                val next = queue.takeNext {
                    it.tokens + held() <= setup.budget.tokens && running.size < setup.budget.slots
                }
                start(jobs.getValue((next ?: return).id))
            }
        }

        private fun abandon(job: Job) {
            job.isExpired = true
            val waitedMillis = (nowMicros - job.arrivalMicros) / MICROS_PER_MILLI
            predictor.addSample(FirstTokenSample(job.promptTokens, job.tokensAhead, waitedMillis, isAbandoned = true))
        }

        private fun start(job: Job) {
            job.startMicros = nowMicros
            running += job
            schedule()
        }

        private fun schedule() {
            prefilling?.let { it.remainingPrefillMicros -= nowMicros - prefillSinceMicros }
            val urgency =
                compareBy<Job>({ if (setup.hasEnginePriority) it.promptClass.priority else 0 }, { it.startMicros })
            val next = running.filter { it.firstTokenMicros == null }.minWithOrNull(urgency)
            prefilling = next
            prefillSinceMicros = nowMicros
            next?.let { at(nowMicros + it.remainingPrefillMicros) { onPrefilled(it) } }
        }

        private fun onPrefilled(job: Job) {
            if (prefilling !== job || nowMicros - prefillSinceMicros < job.remainingPrefillMicros) return
            job.firstTokenMicros = nowMicros
            prefilling = null
            predictor.addSample(FirstTokenSample(job.promptTokens, job.tokensAhead, checkNotNull(job.firstTokenMillis)))
            at(nowMicros + job.answerTokens * DECODE_MICROS_PER_TOKEN) { end(job) }
            schedule()
        }

        private fun end(job: Job) {
            job.endMicros = nowMicros
            running -= job
            queue.onEnded(job.toWaitingRequest().id)
            dispatch()
        }
    }

    private class Event(val micros: Long, val number: Long, val action: () -> Unit)
}

/** Ranges of prompt lengths, in tokens, and their fraction of all requests. */
internal val MIX: List<Pair<LongRange, Double>> =
    listOf(1_000L..4_000L to 0.70, 4_001L..16_000L to 0.22, 16_001L..100_000L to 0.06, 100_001L..250_000L to 0.02)

/** Returns Poisson arrivals of [MIX] at [load] of the prefill capacity of [endpoints]; workspace w0 sends half. */
internal fun arrivals(seed: Int, load: Double, seconds: Int = 300, endpoints: Int = 4): List<Job> {
    val random = Random(seed)
    val meanTokens = MIX.sumOf { (range, part) -> (range.first + range.last) / 2 * part }
    val gapMicros = meanTokens * PREFILL_MICROS_PER_TOKEN / endpoints / load
    var micros = 0.0
    val jobs = ArrayList<Job>()
    while (micros < seconds * 1e6) {
        micros -= gapMicros * kotlin.math.ln(1 - random.nextDouble())
        val prompt = random.nextLong(random.rangeOfMix())
        val workspace = if (random.nextBoolean()) 0 else random.nextInt(1, WORKSPACES)
        val limitMillis = if (promptClassOf(prompt).isLong) LONG_LIMIT_MILLIS else SHORT_LIMIT_MILLIS
        jobs += Job(jobs.size, "w$workspace", prompt, random.nextLong(50, 150), micros.toLong(), limitMillis)
    }
    return jobs
}

private fun Random.nextLong(range: LongRange): Long = nextLong(range.first, range.last + 1)

private fun Random.rangeOfMix(): LongRange {
    var left = nextDouble()
    return MIX.firstOrNull { (_, part) -> (left < part).also { left -= part } }?.first ?: MIX.last().first
}

internal fun List<Long>.percentile(percent: Int): Long = sorted()[(size - 1) * percent / 100]

internal const val MICROS_PER_MILLI: Long = 1_000
internal const val PREFILL_MICROS_PER_TOKEN: Long = 20
internal const val DECODE_MICROS_PER_TOKEN: Long = 20_000
internal const val SHORT_LIMIT_MILLIS: Long = 10_000
internal const val LONG_LIMIT_MILLIS: Long = 60_000
private const val WORKSPACES: Int = 10
private val DATA_CENTRE = DataCentreId("d")

/** A request that every waiting request goes before, to measure the whole backlog. */
private val LAST_REQUEST = WaitingRequest(
    RequestId("~"),
    WorkspaceId("~"),
    1_000_000_000,
    1_000_000_000,
    0,
    Long.MAX_VALUE,
)
