/**
 * Plays the heavy phases of the users' days on simulated engines and checks what callers get.
 *
 * Long-heavy and short-heavy phases, on two made-up fleets; placement by forecast against the least-loaded engine. The
 * target is 1.5 times the worth served in aim. Instances know each other's work at once here; in service the news takes
 * some milliseconds.
 */
package pistachiopass.gateway.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.logging.EventLog
import pistachiopass.gateway.ASSISTANT
import pistachiopass.gateway.SPEEDS
import pistachiopass.gateway.StateSnapshot
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.endpointItem
import pistachiopass.gateway.endpointOf
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.PromptSize
import pistachiopass.gateway.model.Revision
import pistachiopass.gateway.routeOf
import pistachiopass.gateway.serviceOf
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.gateway.state.knownStateOf
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.assertTrue

/** A load in requests a second by kind. */
private data class Load(
    val engines: Int,
    val shortPerSecond: Double,
    val mediumPerSecond: Double,
    val longPerSecond: Double
)

private val SILENT = EventLog { _, _, _ -> }

class PlacementLoadTest {
    @TestFactory
    fun `placement by forecast serves half as much again as the least-loaded engine`(): List<DynamicTest> = casesOf(
        listOf(
            Load(engines = 18, shortPerSecond = 10.0, mediumPerSecond = 2.6, longPerSecond = 2.2),
            Load(engines = 30, shortPerSecond = 20.0, mediumPerSecond = 5.0, longPerSecond = 3.5),
        ),
    ) { load ->
        val byForecast = worthOf(play(load, isByForecast = true))
        val byCount = worthOf(play(load, isByForecast = false))
        println("$load: worth in aim by forecast $byForecast, by least load $byCount")
        assertTrue(byForecast >= GAIN * byCount, "by forecast $byForecast, by least load $byCount")
    }

    @TestFactory
    fun `short prompts are served in time while no long ones come`(): List<DynamicTest> = casesOf(
        listOf(
            Load(engines = 18, shortPerSecond = 40.0, mediumPerSecond = 1.0, longPerSecond = 0.04),
            Load(engines = 30, shortPerSecond = 80.0, mediumPerSecond = 2.0, longPerSecond = 0.04),
        ),
    ) { load ->
        val short = play(load, isByForecast = true).filter { it.kind == Kind.SHORT }
        val share = short.count { it.isInAim } * 100 / short.size
        println("$load: $share in 100 short prompts in aim")
        assertTrue(share >= SHORT_SHARE, "$share in 100 of ${short.size}")
    }

    private fun worthOf(requests: List<SimulatedRequest>): Int = requests.filter { it.isInAim }.sumOf { it.kind.worth }.roundToInt()

    private fun play(load: Load, isByForecast: Boolean): List<SimulatedRequest> {
        val time = VirtualTime()
        val fleet = Fleet(time, load.engines)
        val requests = arrivals(load)
        requests.forEach { request ->
            time.at(
                request.arrivedMillis
            ) { if (isByForecast) fleet.placeByForecast(request) else fleet.placeByCount(request) }
        }
        time.runAll()
        return requests
    }

    private fun arrivals(load: Load): List<SimulatedRequest> {
        val random = Random(SEED)
        val rates = listOf(load.shortPerSecond, load.mediumPerSecond, load.longPerSecond)
        return Kind.entries.zip(rates).flatMap { (kind, perSecond) ->
            generateSequence(0.0) { it - ln(1 - random.nextDouble()) / perSecond * MILLIS }
                .drop(1)
                .takeWhile { it < PHASE_MILLIS }
                .map { SimulatedRequest(kind, tokensOf(kind, random), random.nextInt(10, 40), it) }
        }
    }

    private fun tokensOf(kind: Kind, random: Random): Long {
        val spread = random.asJavaRandom().nextGaussian() * SPREAD - SPREAD * SPREAD / 2
        return (kind.meanTokens * exp(spread)).toLong().coerceIn(100, TOKENS_MAX)
    }
}

/** Engines, and the two ways to place requests on them. */
private class Fleet(private val time: VirtualTime, count: Int) {
    private val engines = List(count) { SimulatedEngine(time) }
    private val endpoints = endpointsOf(count)
    private val byIncarnation = endpoints.zip(
        engines
    ).associate { (known, engine) -> known.published.incarnation to engine }
    private val load = FleetLoad { time.nowMillis.toLong() }
    private val health = EndpointHealth({ time.nowMillis.toLong() }, SILENT)
    private val placement = Placement(load, health) { time.nowMillis.toLong() }

    fun placeByForecast(request: SimulatedRequest) {
        val route = routeOf("/${request.kind}/", request.kind.objectiveMillis, request.kind.pauseMillis)
        val answer = request.events.toLong() * SPEEDS.passSteps
        val size = PromptSize(request.promptTokens, answer, answer)
        val placementRequest = PlacementRequest(route, serviceOf(), size, elapsedMillis = 0, emptySet())
        val assignment = checkNotNull(placement.chooseOrNull(placementRequest, endpoints))
        val placed = assignment.estimates.map { load.add(it, isOwn = true) }
        val first = engineAt(assignment.endpoint.published.incarnation)
        request.partsLeft = assignment.estimates.size
        assignment.estimates.forEach { estimate ->
            engineAt(estimate.endpoint).read(request, estimate.prefillMillis, first) {
                placed.forEach {
                    load.prefillEnded(it, assignment.forecastMillis, time.nowMillis - request.arrivedMillis)
                }
                time.at(time.nowMillis + placed[0].estimate.decodeMillis) { placed.forEach(load::end) }
            }
        }
    }

    fun placeByCount(request: SimulatedRequest) {
        val engine = engines.minBy { it.requests }
        request.partsLeft = 1
        engine.read(request, SPEEDS.prefillMillis(request.promptTokens), engine) { }
    }

    private fun engineAt(incarnation: Incarnation): SimulatedEngine = byIncarnation.getValue(incarnation)

    private fun endpointsOf(count: Int): List<KnownEndpoint> {
        val knownState = knownStateOf({ 0L }, SILENT)
        val items = (1..count).map { endpointItem(it.toLong(), "e$it", endpointOf("e$it")) }
        knownState.applyChanges(StateSnapshot(Revision(count.toLong()), items))
        return knownState.endpoints.of(ASSISTANT)
    }
}

private const val SEED = 11
private const val GAIN = 1.5
private const val SHORT_SHARE = 90
private const val PHASE_MILLIS = 20_000.0
private const val MILLIS = 1_000.0
private const val SPREAD = 0.6

/** Longer prompts need reservations, which this fleet has none of. */
private const val TOKENS_MAX = 380_000L
