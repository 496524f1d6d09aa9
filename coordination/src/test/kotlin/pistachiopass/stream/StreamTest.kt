/** Tests of event ids and of the order of chunks. */
package pistachiopass.stream

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.RouteName
import pistachiopass.model.WorkspaceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class StreamTest {
    private val location = StreamLocation(EndpointId("e1"), "s-17", RequestId("r-1"), RouteName("assistant"))
    private val workspace = WorkspaceId("vandermolen")
    private val ids = eventIdsOf(ByteArray(32) { it.toByte() })

    @Test
    fun `an id decodes to its position at any instance with the same key`() {
        val id = ids.writerOf(location, workspace).idOf(42, 1_234)
        assertEquals(
            StreamPosition(location, 42, 1_234),
            eventIdsOf(ByteArray(32) { it.toByte() }).positionOrNull(id, workspace)
        )
    }

    @ParameterizedTest
    @MethodSource("forgeries")
    fun `an id that was altered or truncated is refused`(change: (String) -> String) {
        val id = ids.writerOf(location, workspace).idOf(42, 1_234)
        assertNull(ids.positionOrNull(change(id), workspace))
    }

    @Test
    fun `an id is refused for another workspace and under another key`() {
        val id = ids.writerOf(location, workspace).idOf(42, 1_234)
        assertNull(ids.positionOrNull(id, WorkspaceId("wieniec")))
        assertNull(eventIdsOf(ByteArray(32)).positionOrNull(id, workspace))
    }

    @Test
    fun `random ids are refused without an exception`() {
        val random = Random(SEED)
        println("seed $SEED")
        repeat(2_000) {
            val text = String(CharArray(random.nextInt(80)) { ALPHABET[random.nextInt(ALPHABET.length)] })
            assertNull(ids.positionOrNull(text, workspace))
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `reordered and duplicate chunks come out complete and in order`(seed: Int) {
        println("seed $seed")
        val random = Random(seed)
        val sequencer = chunkSequencerOf<Long>("s", windowChunks = WINDOW)
        val out = mutableListOf<Long>()
        disordered(CHUNKS, random).forEach { offset ->
            val outcome = sequencer.accept("s", offset, offset)
            if (outcome is SequencerOutcome.InOrder) out += outcome.chunks
        }
        assertEquals((0L until CHUNKS).toList(), out)
        assertEquals(CHUNKS, sequencer.nextOffset)
    }

    @Test
    fun `a missing chunk is a gap once the window is full, and a chunk of another stream is recognised`() {
        val sequencer = chunkSequencerOf<String>("s", windowChunks = 2)
        assertEquals(SequencerOutcome.OtherStream, sequencer.accept("t", 0, "x"))
        assertEquals(SequencerOutcome.InOrder(0, listOf("a")), sequencer.accept("s", 0, "a"))
        assertEquals(SequencerOutcome.Duplicate, sequencer.accept("s", 0, "a"))
        assertEquals(SequencerOutcome.Held, sequencer.accept("s", 2, "c"))
        assertEquals(SequencerOutcome.Held, sequencer.accept("s", 3, "d"))
        assertEquals(SequencerOutcome.Duplicate, sequencer.accept("s", 3, "d"))
        assertEquals(SequencerOutcome.Gap, sequencer.accept("s", 4, "e"))
        assertEquals(1, sequencer.nextOffset)
        assertEquals(SequencerOutcome.InOrder(1, listOf("b", "c", "d")), sequencer.accept("s", 1, "b"))
    }

    /** Displaces each offset by less than the window and duplicates some. */
    private fun disordered(count: Long, random: Random): List<Long> =
        (0L until count)
            .flatMap { offset -> List(1 + random.nextInt(2)) { offset to offset + random.nextInt(WINDOW / 2) } }
            .sortedBy { it.second }
            .map { it.first }

    companion object {
        private const val SEED = 7
        private const val WINDOW = 16
        private const val CHUNKS = 500L
        private const val ALPHABET = "abcXYZ019-_.="

        @JvmStatic
        fun forgeries(): List<(String) -> String> = listOf(
            { it.replace(".42.", ".43.") },
            { it.replace(".1234.", ".1.") },
            { it.dropLast(1) },
            { it.drop(1) },
            { it.substringBeforeLast('.') },
            { it.replaceFirstChar { first -> if (first == 'x') 'y' else 'x' } },
            { "" },
            { "..." },
        )
    }
}
