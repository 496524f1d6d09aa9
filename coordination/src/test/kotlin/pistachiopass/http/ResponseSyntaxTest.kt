/**
 * Tests which responses are well formed, from the table that the tests of all modules share.
 *
 * Guards against a client that takes a malformed response as an answer, and against one that rejects a sound server.
 */
package pistachiopass.http

import com.github.michaelbull.result.getOr
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.ByteBuffer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ResponseSyntaxTest {
    @TestFactory
    fun `only whole responses that conform are accepted`(): List<DynamicTest> = tabledResponses().map { response ->
        DynamicTest.dynamicTest(response.toString()) {
            listOf(1, Int.MAX_VALUE).forEach { pieceBytes ->
                assertEquals(response.isWhole, isWhole(response, pieceBytes), "in pieces of $pieceBytes bytes")
            }
        }
    }

    @TestFactory
    fun `no beginning of a body in chunks is whole`(): List<DynamicTest> =
        tabledResponses().filter { it.isWhole && it.group == "chunk" }.map { response ->
            DynamicTest.dynamicTest(response.toString()) {
                response.body.indices.map(response.body::take).forEach { beginning ->
                    val syntax = ChunkedBodySyntax().also { it.accept(bytesOf(beginning)) }
                    assertNull(syntax.problem, beginning)
                    assertEquals(false, syntax.isComplete, beginning)
                }
            }
        }

    @Test
    fun `a line or a trailer without end is given up`() {
        listOf("1" + "0".repeat(10_000), "0\r\n" + "X-A: b\r\n".repeat(10_000)).forEach { text ->
            val syntax = ChunkedBodySyntax().also { it.accept(bytesOf(text)) }
            assertEquals(SyntaxProblem.SIZE, syntax.problem)
        }
    }

    private fun isWhole(response: TabledResponse, pieceBytes: Int): Boolean =
        when (val framing = framingOf(response.head).getOr(null)?.body) {
            is BodyFraming.Length -> framing.bytes == response.body.length.toLong()
            is BodyFraming.Chunks -> {
                val syntax = ChunkedBodySyntax()
                response.body.chunked(pieceBytes).forEach { syntax.accept(bytesOf(it)) }
                syntax.isComplete
            }
            else -> false
        }

    private fun bytesOf(text: String): ByteBuffer = ByteBuffer.wrap(text.toByteArray(Charsets.ISO_8859_1))
}
