/** Tests signing, splitting and decoding of frames, and the send queue. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import pistachiopass.peer.PeerFailureCode
import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FramesTest {
    private val key = ByteArray(MIN_KEY_BYTES) { it.toByte() }
    private val samples = listOf(
        Frame.Call(callId = 7, "lease", ByteArray(9)),
        Frame.Notice("heartbeat", ByteArray(3)),
        Frame.Response(callId = 7, "granted", ByteArray(0)),
        Frame.Refusal(callId = 7, PeerFailureCode.OVERLOADED, handled = false),
        Frame.KeepAlive,
    ).map(::encodeFrame)

    @Test
    fun `only the next frame passes verification, and only unaltered`() {
        val signer = FrameSigner(key)
        val (first, second) = List(2) { signer.sign(samples[it]).drop(LENGTH_BYTES).toByteArray() }
        val flipped = List(first.size) { index -> first.copyOf().also { it[index] = (it[index] + 1).toByte() } }
        val wrong = flipped + listOf(second, first.copyOf(first.size - 1), first + 0, ByteArray(0))
        for (bytes in wrong) assertNull(FrameVerifier(key).verifyOrNull(bytes))
        assertNull(FrameVerifier(key.reversedArray()).verifyOrNull(first), "another session")
        val verifier = FrameVerifier(key)
        assertContentEquals(samples[0], verifier.verifyOrNull(first))
        assertNull(FrameVerifier(key).also { it.verifyOrNull(first) }.verifyOrNull(first), "replayed")
        assertContentEquals(samples[1], verifier.verifyOrNull(second))
    }

    @Test
    fun `frames are split by their length prefix up to the limit`() = runBlocking {
        val cases = listOf(
            byteArrayOf(0, 0, 0, 2, 5, 6) to null,
            byteArrayOf(0, 0, 0, 0) to null,
            byteArrayOf(0, 0, 0, 9) + ByteArray(9) to FrameError.OVERSIZED,
            byteArrayOf(-1, -1, -1, -1) to FrameError.OVERSIZED,
            byteArrayOf(127, -1, -1, -1) to FrameError.OVERSIZED,
            byteArrayOf(0, 0, 0, 2, 5) to FrameError.ENDED,
            byteArrayOf(0, 0) to FrameError.ENDED,
        )
        for ((bytes, expected) in cases) {
            assertEquals(
                expected,
                FrameReader(ArrayConnection(bytes)).read(limitBytes = 8).getError(),
                bytes.toList().toString()
            )
        }
        assertContentEquals(byteArrayOf(5, 6), FrameReader(ArrayConnection(cases[0].first)).read(limitBytes = 8).get())
    }

    @Test
    fun `random and damaged bytes never make the decoder or the reader throw`() = runBlocking {
        val random = Random(SEED)
        for (sample in samples) assertNotNull(decodeFrameOrNull(sample))
        repeat(FUZZ_ROUNDS) { round ->
            val damaged = samples[round % samples.size].copyOf()
            damaged[random.nextInt(damaged.size)] = random.nextInt().toByte()
            val noise = random.nextBytes(random.nextInt(MAX_FUZZ_BYTES))
            for (bytes in listOf(damaged, noise)) {
                val outcome = runCatching { decodeFrameOrNull(bytes) }
                assertTrue(outcome.isSuccess, "seed $SEED round $round: ${bytes.toList()} ${outcome.exceptionOrNull()}")
                assertNull(FrameVerifier(key).verifyOrNull(bytes), "seed $SEED round $round")
            }
            val length = ByteBuffer.wrap(noise + ByteArray(LENGTH_BYTES)).getInt()
            val read = FrameReader(ArrayConnection(noise)).read(MAX_FUZZ_BYTES)
            assertEquals(
                noise.size >= LENGTH_BYTES && length in 0..noise.size - LENGTH_BYTES,
                read.isOk,
                "$SEED/$round"
            )
        }
    }

    @Test
    fun `the queue is bounded in frames and bytes and a frame is either written or withdrawn`() = runBlocking {
        val limits = PeerLimits(frameBytes = 100, sendQueueBytes = 100, sendQueueFrames = 3)
        val cases = listOf(listOf(60, 40) to 1, listOf(100) to 1, listOf(1, 1, 1) to 1)
        for ((sizes, extra) in cases) {
            val queue = SendQueue(limits)
            val frames = sizes.map { OutboundFrame(ByteArray(it)) }
            assertTrue(frames.all(queue::offer))
            assertFalse(queue.offer(OutboundFrame(ByteArray(extra))), "$sizes")
            assertEquals(frames.first(), queue.take())
            assertFalse(frames.first().withdraw(), "a claimed frame may have been sent")
            assertTrue(queue.offer(OutboundFrame(ByteArray(extra))))
        }
        val withdrawn = OutboundFrame(ByteArray(1))
        assertTrue(withdrawn.withdraw() && withdrawn.withdraw())
        assertFalse(withdrawn.claim(), "a withdrawn frame is not written")
    }
}

/** Reads [bytes], at most three at a time, then the end. */
private class ArrayConnection(private val bytes: ByteArray) : ByteConnection {
    private var position = 0

    override suspend fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (position == bytes.size) return -1
        val count = minOf(length, bytes.size - position, 3)
        bytes.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    override suspend fun write(bytes: ByteArray) = Unit

    override fun close() = Unit
}

private const val SEED = 4_711
private const val FUZZ_ROUNDS = 20_000
private const val MAX_FUZZ_BYTES = 64
