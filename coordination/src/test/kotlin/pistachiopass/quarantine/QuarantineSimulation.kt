/** A fleet of instances, engines and callers in virtual time, in which one prompt part ends each engine it runs on. */
package pistachiopass.quarantine

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import pistachiopass.fleet.VirtualNetwork
import pistachiopass.model.EndpointId
import pistachiopass.model.PromptPartId
import pistachiopass.model.RequestId

internal data class SimulatedLoad(
    val instances: Int,
    val engines: Int = 18,
    val soundPerSecond: Int = 40,
    val crashingPerSecond: Double = 1.4,
    val lossPercent: Int = 1,
    val seed: Int = 1,
    /** Whether the part that ends engines comes after the one that sound prompts share, or before it. */
    val isLast: Boolean = true,
)

/** One process of an instance, from its start to its end. */
internal class SimulatedProcess(simulation: QuarantineSimulation, val host: Int) {
    private val network = simulation.network
    val startedMillis = network.nowMillis
    val released = ArrayList<ReleaseReason>()
    val quarantine = PartQuarantine(
        { network.nowMillis },
        { simulation.load.instances },
        object : QuarantineListener {
            override fun onQuarantined(part: QuarantinedPart, isLearned: Boolean) {
                simulation.quarantined += part.part
            }

            override fun onReleased(part: PromptPartId, reason: ReleaseReason, ageMillis: Long) {
                released += reason
            }
        },
        network.random,
    )
    val gossip = QuarantineGossip(
        quarantine,
        { simulation.processes.keys.filter { it != host } },
        { network.nowMillis },
        network.random,
    )
}

private class SimulatedEngine(val id: Int) {
    var run = 0
    var isUp = true
    val attempts = LinkedHashSet<SimulatedAttempt>()
}

private class SimulatedRequest(val id: RequestId, val parts: List<PromptPartId>) {
    val isCrashing = CRASHING_PART in parts
    var attempts = 0
}

private class SimulatedAttempt(val request: SimulatedRequest, val process: SimulatedProcess, val sentMillis: Long) {
    var firstEventMillis: Long? = null
}

/** Runs [load]; faults are added with `at` of the [network]. */
internal class QuarantineSimulation(val load: SimulatedLoad) {
    val network = VirtualNetwork<Int, QuarantineMessage>(load.seed, load.lossPercent)
    val processes = LinkedHashMap<Int, SimulatedProcess>()
    val quarantined = HashSet<PromptPartId>()
    private val engines = List(load.engines, ::SimulatedEngine)

    /** Times at which an engine ended by a request with the part. */
    val crashMillis = ArrayList<Long>()

    /** Times at which requests with the part reached an engine, with the time for which their instance had run. */
    val crashingSends = ArrayList<Pair<Long, Long>>()
    var soundRefused = 0
    var bytes = 0L
    private var requests = 0

    init {
        repeat(load.instances) { start(it) }
        every(1_000.0 / load.soundPerSecond) { arrive(listOf(soundPart())) }
    }

    /** Begins to send requests with the part from [fromMillis] until [untilMillis]. */
    fun crashingRequests(fromMillis: Long, untilMillis: Long) {
        var millis = fromMillis.toDouble()
        while (millis < untilMillis) {
            val parts = listOf(SHARED_PART, CRASHING_PART).let { if (load.isLast) it else it.reversed() }
            network.at(millis.toLong()) { arrive(parts) }
            millis += 1_000.0 / load.crashingPerSecond * (0.5 + network.random.nextDouble())
        }
    }

    fun start(host: Int) {
        val process = SimulatedProcess(this, host)
        processes[host] = process
        process.quarantine.onNews = {
            network.at(network.nowMillis + NEWS_MILLIS) {
                if (processes[host] === process) send(host, process.gossip.tick())
            }
        }
        network.connect(host) { sender, message -> send(host, process.gossip.receive(sender, message)) }
        network.each(host, TICK_MILLIS) { send(host, process.gossip.tick()) }
        network.each(host, EXPIRE_MILLIS) { process.quarantine.expire() }
    }

    fun kill(host: Int) {
        processes -= host
        network.disconnect(host)
    }

    /** Ends [share] of the engines at once, whatever they run. */
    fun endEngines(share: Double) {
        val ended = engines.shuffled(network.random).take((engines.size * share).toInt())
        ended.forEach { it.isUp = false }
        ended.forEach(::end)
    }

    /** Returns how many running instances refuse requests with the part. */
    fun refusing(): Int = processes.values.count { it.quarantine.blockingOrNull(listOf(CRASHING_PART)) != null }

    private fun every(periodMillis: Double, run: () -> Unit) {
        network.at(network.nowMillis + (periodMillis * 2 * network.random.nextDouble()).toLong()) {
            run()
            every(periodMillis, run)
        }
    }

    private fun soundPart(): PromptPartId {
        val number = (SOUND_PARTS * network.random.nextDouble() * network.random.nextDouble()).toInt()
        return if (number == 0) SHARED_PART else PromptPartId("part-$number")
    }

    private fun arrive(parts: List<PromptPartId>) {
        val process = processes.values.randomOrNull(network.random) ?: return
        val request = SimulatedRequest(RequestId("request-${requests++}"), parts)
        if (process.quarantine.check(parts) is PartCheck.Refused) {
            if (!request.isCrashing) soundRefused++
        } else {
            attempt(request, process)
        }
    }

    private fun attempt(request: SimulatedRequest, process: SimulatedProcess) {
        val engine = engines.filter { it.isUp }.randomOrNull(network.random)
        val isBlocked = process.quarantine.blockingOrNull(request.parts) != null
        val mayContinue = request.attempts < ATTEMPTS && processes[process.host] === process
        if (engine == null || isBlocked || !mayContinue) return
        request.attempts++
        val attempt = SimulatedAttempt(request, process, network.nowMillis)
        engine.attempts += attempt
        if (request.isCrashing) crashingSends += network.nowMillis to network.nowMillis - process.startedMillis
        val run = engine.run
        val waitMillis = 50L + engine.attempts.size * 20L + network.random.nextLong(100)
        network.at(network.nowMillis + waitMillis) { if (engine.run == run) begin(attempt, engine) }
    }

    private fun begin(attempt: SimulatedAttempt, engine: SimulatedEngine) {
        if (attempt.request.isCrashing) {
            crashMillis += network.nowMillis
            end(engine)
            return
        }
        attempt.firstEventMillis = network.nowMillis
        val run = engine.run
        network.at(network.nowMillis + 500 + network.random.nextLong(1_500)) {
            if (engine.run == run) {
                engine.attempts -= attempt
                attempt.process.quarantine.onAnswered(attempt.request.parts)
            }
        }
    }

    private fun end(engine: SimulatedEngine) {
        val broken = engine.attempts.toList()
        val run = endpointRunOf(EndpointId("engine-${engine.id}"), engine.run.toLong())
        engine.attempts.clear()
        engine.run++
        engine.isUp = false
        network.at(network.nowMillis + RESTART_MILLIS) { engine.isUp = true }
        broken.filter { processes[it.process.host] === it.process }.forEach { attempt ->
            val decodeMillis = attempt.firstEventMillis?.let { network.nowMillis - it }
            val request = attempt.request
            attempt.process.quarantine.onBroken(
                BrokenAttempt(
                    run,
                    requestHashOf(request.id),
                    request.parts,
                    attempt.sentMillis,
                    hasHead = decodeMillis != null || request.isCrashing,
                    decodeMillis,
                ),
            )
            attempt(request, attempt.process)
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun send(from: Int, datagrams: List<QuarantineDatagram<Int>>) = datagrams.forEach {
        val size = Cbor.encodeToByteArray(QuarantineMessage.serializer(), it.message).size
        check(size <= DATAGRAM_BYTES_MAX) { "a message has $size bytes" }
        bytes += size
        network.send(from, it.to, it.message)
    }
}

internal val SHARED_PART = PromptPartId("5afe00000001")
internal val CRASHING_PART = PromptPartId("dead00000001")

private const val SOUND_PARTS = 60
private const val ATTEMPTS = 2
private const val NEWS_MILLIS = 10L
private const val TICK_MILLIS = 250L
private const val EXPIRE_MILLIS = 1_000L
private const val RESTART_MILLIS = 3_300L

/** UDP payload of an Ethernet frame, less the envelope of the gateway's messages. */
private const val DATAGRAM_BYTES_MAX = 1_450
