/**
 * Checks all bytes that a server sends on a connection that carries one request.
 *
 * For clients whose library reads from the socket itself and shows none of the bytes: they pass each piece through this
 * check before the library gets it.
 */
package pistachiopass.http

import com.github.michaelbull.result.fold
import java.nio.ByteBuffer

/** The syntax of the response to one request, interim ones before it included; [isHead] tells whether to a HEAD. */
public class SingleResponseSyntax(private val isHead: () -> Boolean) {
    private val head = StringBuilder()
    private var framing: BodyFraming? = null
    private var chunks: ChunkedBodySyntax? = null
    private var bodyBytes = 0L

    /** Why the bytes so far are no beginning of a response, or null. */
    public var problem: SyntaxProblem? = null
        private set

    /** Takes the next [bytes] up to the end of the response; those after it belong to none. */
    public fun accept(bytes: ByteBuffer) {
        while (framing == null && problem == null && bytes.hasRemaining()) acceptHeadByte(bytes.get())
        bodyBytes += bytes.remaining()
        chunks?.let {
            it.accept(bytes)
            problem = problem ?: it.problem
        }
    }

    /** Whether the body ends with the connection. */
    public val endsWithConnection: Boolean get() = framing == BodyFraming.Connection

    /**
     * Returns whether the bytes so far are a whole response if the server closes the connection now.
     *
     * A body that ends with the connection needs a byte, since a server that fails before it writes one closes its
     * connections as well, and a request that was sent in full ([isRequestSent]).
     */
    public fun isWholeAtClose(isRequestSent: Boolean): Boolean =
        problem == null && when (val body = framing) {
            null -> false
            BodyFraming.None -> true
            BodyFraming.Chunks -> chunks?.isComplete ?: false
            BodyFraming.Connection -> bodyBytes > 0 && isRequestSent
            is BodyFraming.Length -> bodyBytes >= body.bytes
        }

    private fun acceptHeadByte(byte: Byte) {
        head.append((byte.toInt() and BYTE_MASK).toChar())
        val isLineEnded = byte == LINE_FEED
        when {
            // Some parsers take a line feed alone for the end of a line and of the head.
            isLineEnded && !head.endsWith(LINE_BREAK) -> problem = problemOf(head.toString())
            isLineEnded && head.endsWith(BLANK_LINE) -> onHead(head.toString())
            head.length > HEAD_BYTES_MAX -> problem = SyntaxProblem.SIZE
        }
    }

    private fun onHead(text: String): Unit = framingOf(text).fold(
        success = {
            if (!it.isInterim) begin(if (isHead()) BodyFraming.None else it.body)
            head.setLength(0)
        },
        failure = { problem = it },
    )

    private fun begin(body: BodyFraming) {
        framing = body
        if (body == BodyFraming.Chunks) chunks = ChunkedBodySyntax()
    }
}

/** Returns the problem of [head], whose last line does not end as lines do. */
private fun problemOf(head: String): SyntaxProblem =
    if (LINE_BREAK in head) SyntaxProblem.FIELD else SyntaxProblem.STATUS_LINE

private const val BLANK_LINE = LINE_BREAK + LINE_BREAK
private const val HEAD_BYTES_MAX = 256 * 1024
