/** Checks the engine's core in virtual time: batching, memory, cold state, cache, orders and transfers. */
package pistachiopass.standins.engine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class EngineCoreTest {
    private class PrefillCase(val promptTokens: Int, val cachedTokens: Int, val firstTokenMillis: Long)

    @Test
    fun `time to first token grows with the prompt that is not cached`() {
        val cases = listOf(
            PrefillCase(promptTokens = 1, cachedTokens = 0, firstTokenMillis = 0),
            PrefillCase(promptTokens = 5_000, cachedTokens = 0, firstTokenMillis = 100),
            PrefillCase(promptTokens = 50_000, cachedTokens = 0, firstTokenMillis = 1_000),
            PrefillCase(promptTokens = 51_200, cachedTokens = 25_600, firstTokenMillis = 512),
            PrefillCase(promptTokens = 51_200, cachedTokens = 51_200, firstTokenMillis = 0),
        )
        for (case in cases) {
            val engine = VirtualEngine()
            if (case.cachedTokens > 0) engine.runUntilIdle(engine.submit("warm-up", case.cachedTokens, 1))
            val startMillis = engine.nowMillis
            engine.runUntilIdle(engine.submit("r", case.promptTokens, answerTokens = 1))
            assertEquals(case.firstTokenMillis, engine.nowMillis - startMillis, "${case.promptTokens} tokens")
        }
    }

    private class SharingCase(val longPriority: Int, val shortPriority: Int, val range: LongRange)

    @Test
    fun `a long prefill slows a short request that is not more urgent`() {
        val cases = listOf(
            SharingCase(longPriority = 5, shortPriority = 5, range = 1_900L..2_200L),
            SharingCase(longPriority = 5, shortPriority = 0, range = 0L..20L),
            SharingCase(longPriority = 0, shortPriority = 5, range = 1_900L..2_200L),
        )
        for (case in cases) {
            val engine = VirtualEngine()
            engine.submit("long", 100_000, answerTokens = 1, priority = case.longPriority)
            val short = engine.submit("short", 10, answerTokens = 1, priority = case.shortPriority)
            engine.runUntil { short.producedTokens == 1 }
            assertTrue(engine.nowMillis in case.range, "${case.shortPriority}: ${engine.nowMillis} ms")
        }
    }

    @Test
    fun `a long prefill lengthens the time between tokens on the same engine`() {
        val engine = VirtualEngine()
        val decoding = engine.submit("short", 10, answerTokens = 1_000)
        engine.runUntil { decoding.producedTokens == 101 }
        val aloneMillis = engine.nowMillis
        engine.submit("long", 100_000, answerTokens = 1)
        engine.runUntil { decoding.producedTokens == 201 }
        assertEquals(2_000, aloneMillis)
        assertTrue(engine.nowMillis - aloneMillis in 3_000L..3_100L, "${engine.nowMillis - aloneMillis} ms")
    }

    private class FallOverCase(
        val name: String,
        val cold: Boolean,
        val prompts: List<Int>,
        val answerTokens: Int,
        val fallOvers: Int,
    )

    @Test
    fun `an engine falls over when it holds more than it can`() {
        val cases = listOf(
            FallOverCase("full", cold = false, listOf(100_000, 99_990), answerTokens = 5, fallOvers = 0),
            FallOverCase("prompts exceed", cold = false, listOf(100_000, 100_001), answerTokens = 1, fallOvers = 1),
            FallOverCase("answers exceed", cold = false, listOf(100_000, 99_990), answerTokens = 6, fallOvers = 1),
            FallOverCase("cold and full", cold = true, listOf(9_999, 9_999), answerTokens = 1, fallOvers = 0),
            FallOverCase("cold tokens exceed", cold = true, listOf(10_000, 10_001), answerTokens = 1, fallOvers = 1),
            FallOverCase("cold slots are full", cold = true, List(4) { 1 }, answerTokens = 1, fallOvers = 0),
            FallOverCase("cold slots exceed", cold = true, List(5) { 1 }, answerTokens = 1, fallOvers = 1),
        )
        for (case in cases) {
            val engine = VirtualEngine(EngineSettings(startCold = case.cold, warmAfterTokens = 100_000))
            val streams = case.prompts.map { engine.submit("r$it", it, case.answerTokens) }
            engine.runUntilIdle()
            val isLost = streams.any { it.progress.value.end == StreamEnd.LOST }
            assertEquals(case.fallOvers, engine.core.record.report().fallOvers, case.name)
            assertEquals(case.fallOvers == 1, isLost, case.name)
            assertEquals(case.fallOvers + 1, engine.core.record.report().startIds.distinct().size, case.name)
            assertEquals(case.cold || isLost, engine.core.currentLoad().cold, case.name)
        }
    }

    @Test
    fun `a cold engine is warm after the stated work and bears the full load`() {
        val engine = VirtualEngine(EngineSettings(startCold = true, warmAfterTokens = 20_000))
        for (expectedCold in listOf(true, false)) {
            val stream = engine.submit("r", 9_990, answerTokens = 10)
            engine.runUntilIdle(stream)
            engine.core.cancel(stream, engine.nowMillis)
            assertEquals(expectedCold, engine.core.currentLoad().cold)
        }
        engine.submit("large", 150_000, answerTokens = 1)
        assertEquals(0, engine.core.record.report().fallOvers)
    }

    @Test
    fun `work that an engine holds when it turns cold is not cold load`() {
        val engine = VirtualEngine(EngineSettings(startCold = false, coldGraceMillis = 100))
        engine.submit("before", 100_000, answerTokens = 1)
        engine.core.markCold(engine.nowMillis)
        engine.submit("in the grace", 20_001, answerTokens = 1)
        assertEquals(0, engine.core.record.report().fallOvers)
        engine.nowMicros += 100_000
        engine.submit("after", 20_001, answerTokens = 1)
        assertEquals(1, engine.core.record.report().fallOvers)
        assertEquals(20_001, engine.core.record.report().maxColdTokens)
    }

    @Test
    fun `requests beyond the slots wait by priority and beyond the queue are refused`() {
        val engine = VirtualEngine(EngineSettings(startCold = false, slots = 1, queueSlots = 2))
        val running = engine.submit("running", 10, answerTokens = 2)
        engine.runUntil { running.producedTokens == 1 }
        val later = engine.submit("later", 10, answerTokens = 1, priority = 3)
        val urgent = engine.submit("urgent", 10, answerTokens = 1, priority = 0)
        assertIs<Admission.Refused>(engine.trySubmit("refused", 10, answerTokens = 1))
        assertEquals(listOf("decode", "queued", "queued"), engine.core.currentLoad().requests.map { it.state })
        engine.runUntil { urgent.producedTokens == 1 }
        assertEquals(0, later.producedTokens)
        engine.runUntilIdle(later)
        val outcomes = engine.core.record.report().requests.associate { it.id to it.outcome }
        assertEquals("refused", outcomes["refused"])
        assertEquals(3, outcomes.values.count { it == "finished" })
    }

    private class EndCase(val name: String, val end: (VirtualEngine, GenerationStream) -> Unit)

    @Test
    fun `memory is free after cancel and after retention`() {
        val cases = listOf(
            EndCase("cancel") { engine, stream -> engine.core.cancel(stream, engine.nowMillis) },
            EndCase("retention") { engine, stream ->
                engine.runUntilIdle(stream)
                val expiryMillis = engine.core.expire(engine.nowMillis)
                assertEquals(engine.nowMillis + 30_000, expiryMillis)
                assertEquals(12, engine.core.currentLoad().usedTokens)
                engine.core.expire(engine.nowMillis + 30_000)
            },
        )
        for (case in cases) {
            val engine = VirtualEngine()
            case.end(engine, engine.submit("r", 10, answerTokens = 2))
            assertEquals(0, engine.core.currentLoad().usedTokens, case.name)
            assertEquals(emptyList(), engine.core.currentLoad().requests, case.name)
        }
    }

    @Test
    fun `the load report shows what was true before the lag`() {
        val engine = VirtualEngine(EngineSettings(startCold = false, loadLagMillis = 200))
        val stream = engine.submit("r", 1_000, answerTokens = 50)
        engine.runUntilIdle(stream)
        engine.core.cancel(stream, engine.nowMillis)
        val endMillis = engine.nowMillis
        val expected = listOf(0L to 1, 150L to 1, 200L to 0, 10_000L to 0)
        assertEquals(expected, expected.map { (after, _) -> after to reportedRequests(engine, endMillis + after) })
    }

    private fun reportedRequests(engine: VirtualEngine, atMillis: Long): Int =
        engine.core.loadReport(atMillis).requests.size

    @Test
    fun `the cache keeps the blocks used last and reports events late and with gaps`() {
        val log = CacheEventLog(lagMillis = 500, gap = 3)
        val cache = PrefixCache(capacityBlocks = 2, log)
        cache.store("m", longArrayOf(1, 2), nowMillis = 0)
        assertEquals(1, cache.lookUp("m", longArrayOf(1, 7)))
        cache.store("m", longArrayOf(3), nowMillis = 10)
        assertEquals(listOf(1, 0, 1), listOf(1L, 2L, 3L).map { cache.lookUp("m", longArrayOf(it)) })
        assertEquals(emptyList(), log.after(0, nowMillis = 499).events)
        val kinds = log.after(0, nowMillis = 510).events.map { it.sequence to it.kind }
        assertEquals(listOf(1L to "stored", 2L to "stored", 4L to "evicted"), kinds)
        assertEquals(4, log.after(2, nowMillis = 510).next)
    }

    private class OrderCase(val checksFencing: Boolean, val fencingNumber: Long, val applied: Boolean)

    @Test
    fun `orders with an old fencing number are refused where the engine checks`() {
        val cases = listOf(
            OrderCase(checksFencing = true, fencingNumber = 6, applied = false),
            OrderCase(checksFencing = true, fencingNumber = 7, applied = true),
            OrderCase(checksFencing = true, fencingNumber = 8, applied = true),
            OrderCase(checksFencing = false, fencingNumber = 6, applied = true),
        )
        for (case in cases) {
            val engine = VirtualEngine(EngineSettings(checksFencing = case.checksFencing))
            engine.core.applyOrder(EngineOrder("set-role", role = "decode", fencingNumber = 7), nowMillis = 0)
            val order = EngineOrder("load-model", model = "card-4b", fencingNumber = case.fencingNumber)
            val refusal = engine.core.applyOrder(order, nowMillis = 0)
            assertEquals(if (case.applied) null else OrderResponse(applied = false, fencingNumber = 7), refusal)
            assertEquals(case.applied, "card-4b" in engine.core.currentLoad().models)
            assertEquals("decode", engine.core.currentLoad().role)
        }
    }

    @Test
    fun `an exported request goes on elsewhere without a second prefill`() {
        val source = VirtualEngine()
        val stream = source.submit("r", 50_000, answerTokens = 10)
        source.runUntil { stream.producedTokens == 4 }
        val target = VirtualEngine()
        assertEquals(ImportOutcome.IMPORTED, target.core.importKv(stream.toKvCache(), nowMillis = 0))
        assertEquals(ImportOutcome.ALREADY_HELD, target.core.importKv(stream.toKvCache(), nowMillis = 0))
        val imported = checkNotNull(target.core.streams.streamOrNull(stream.streamId))
        target.runUntilIdle(imported)
        assertEquals(10, imported.producedTokens)
        assertEquals(120, target.nowMillis)
    }

    private class BlockCase(val contents: List<String>, val promptTokens: Int, val blocks: Int)

    @Test
    fun `prompts are measured in tokens and whole blocks`() {
        val cases = listOf(
            BlockCase(emptyList(), promptTokens = 0, blocks = 0),
            BlockCase(listOf("abcde"), promptTokens = 2, blocks = 0),
            BlockCase(listOf("a".repeat(1_023), "b"), promptTokens = 256, blocks = 1),
            BlockCase(listOf("a".repeat(5_000)), promptTokens = 1_250, blocks = 4),
        )
        for (case in cases) {
            val prompt = promptBlocksOf(case.contents)
            assertEquals(case.promptTokens to case.blocks, prompt.promptTokens to prompt.hashes.size)
        }
        val shared = "a".repeat(1_024)
        val (first, second) = listOf("b", "c").map { promptBlocksOf(listOf(shared, it.repeat(1_024))).hashes }
        assertEquals(first[0], second[0])
        assertNotEquals(first[1], second[1])
    }

    @Test
    fun `consecutive engines have consecutive ids`() {
        val cases = listOf(Triple("e1", 0, "e1"), Triple("e1", 9, "e10"), Triple("e09", 1, "e10"), Triple("x", 2, "x2"))
        for ((first, index, expected) in cases) assertEquals(expected, endpointIdAt(first, index))
    }
}

/** Runs a core in virtual time. */
private class VirtualEngine(settings: EngineSettings = EngineSettings(startCold = false)) {
    private var starts: Int = 0
    val core: EngineCore = EngineCore(settings, { "start${starts++}" })
    var nowMicros: Long = 0
    val nowMillis: Long get() = nowMicros / 1_000

    fun trySubmit(id: String, promptTokens: Int, answerTokens: Int, priority: Int = DEFAULT_PRIORITY): Admission {
        val prompt = promptBlocksOf(listOf("x".repeat(promptTokens * CHARACTERS_PER_TOKEN)))
        val request = GenerationRequest(id, "drape-8b", prompt, answerTokens, "length", priority)
        return core.submit(request, nowMillis)
    }

    fun submit(id: String, promptTokens: Int, answerTokens: Int, priority: Int = DEFAULT_PRIORITY): GenerationStream =
        assertIs<Admission.Accepted>(trySubmit(id, promptTokens, answerTokens, priority)).stream

    fun runUntilIdle(stream: GenerationStream? = null) {
        while (step()) continue
        if (stream != null) assertEquals(StreamEnd.FINISHED, stream.progress.value.end)
    }

    fun runUntil(condition: () -> Boolean) {
        while (!condition()) assertTrue(step(), "idle before the condition held")
    }

    private fun step(): Boolean {
        val plan = core.batch.planStep() ?: return false
        nowMicros += plan.durationMicros
        core.apply(plan, nowMillis)
        return true
    }
}
