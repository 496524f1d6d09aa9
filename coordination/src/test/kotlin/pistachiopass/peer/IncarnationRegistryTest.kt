/** Checks the order of start ids, the registry of incarnations and the decoding of peer messages. */
package pistachiopass.peer

import kotlinx.serialization.Serializable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class IncarnationRegistryTest {
    @ParameterizedTest
    @CsvSource("0,1", "9,10", "999999999999,1000000000000", "1790000000000,1790000000001")
    fun `a later start is a newer incarnation`(earlierMillis: Long, laterMillis: Long) {
        val random = Random(SEED)
        val earlier = startIdOf(earlierMillis, random)
        val later = startIdOf(laterMillis, random)
        assertTrue(earlier.isWellFormed() && later.isWellFormed())
        assertTrue(later.isNewerThan(earlier), "$later, $earlier")
        assertFalse(earlier.isNewerThan(later), "$later, $earlier")
    }

    @Test
    fun `only the newest incarnation of an instance is admitted`() {
        val registry = IncarnationRegistry(capacity = 2)
        val (first, second) = listOf(1L, 2L).map { startIdOf(it, Random(SEED)) }
        val cases = listOf(
            Triple("a", first, true),
            Triple("a", second, true),
            Triple("a", first, false),
            Triple("b", first, true),
            Triple("a", second, true),
            Triple("c", first, true),
        )
        for ((id, start, expected) in cases) assertEquals(expected, registry.admit(InstanceId(id), start), "$id $start")
        assertEquals(second, registry.newestOrNull(InstanceId("a")))
        assertNull(registry.newestOrNull(InstanceId("b")), "the least recently seen instance is evicted")
        assertFalse(StartId("x").isWellFormed())
    }

    @Test
    fun `messages of another type or with a malformed payload are not decoded`() {
        val type = peerMessageTypeOf<Sample>("sample")
        val message = type.encode(Sample("text", count = 3))
        assertEquals(Sample("text", count = 3), type.decodeOrNull(message))
        assertNull(type.decodeOrNull(PeerMessage("other", message.payload)))
        val random = Random(SEED)
        repeat(FUZZ_ROUNDS) { round ->
            val bytes = message.payload.copyOf(random.nextInt(message.payload.size))
            assertNull(type.decodeOrNull(PeerMessage("sample", bytes)), "seed $SEED round $round")
            type.decodeOrNull(PeerMessage("sample", random.nextBytes(random.nextInt(MAX_FUZZ_BYTES))))
        }
        assertNotNull(type.decodeOrNull(message))
    }

    @Serializable
    private data class Sample(val text: String, val count: Int)
}

private const val SEED = 20_311
private const val FUZZ_ROUNDS = 20_000
private const val MAX_FUZZ_BYTES = 64
