/** Checks a body in chunks, with its sizes, extensions, line breaks and trailer, byte by byte as it arrives. */
package pistachiopass.http

import java.nio.ByteBuffer

/** The syntax of one body in chunks; [problem] and [isComplete] tell how far the bytes so far conform. */
public class ChunkedBodySyntax {
    private enum class Expected { SIZE, BYTES, LINE_BREAK, TRAILER, NOTHING }

    private val line = StringBuilder()
    private var expected = Expected.SIZE
    private var bytesLeft = 0
    private var trailerBytes = 0

    /** Why the bytes so far are no beginning of a body in chunks, or null. */
    public var problem: SyntaxProblem? = null
        private set

    /** Whether the bytes so far are a whole body. */
    public val isComplete: Boolean get() = expected == Expected.NOTHING && problem == null

    /** Takes the remaining [bytes] up to the end of the body; those after it remain. */
    public fun accept(bytes: ByteBuffer) {
        while (bytes.hasRemaining() && problem == null && expected != Expected.NOTHING) {
            if (expected == Expected.BYTES) skipBytes(bytes) else acceptLineByte(bytes.get())
        }
    }

    private fun skipBytes(bytes: ByteBuffer) {
        val skipped = minOf(bytesLeft, bytes.remaining())
        bytes.position(bytes.position() + skipped)
        bytesLeft -= skipped
        if (bytesLeft == 0) expected = Expected.LINE_BREAK
    }

    private fun acceptLineByte(byte: Byte) {
        line.append((byte.toInt() and BYTE_MASK).toChar())
        when {
            expected == Expected.LINE_BREAK && !LINE_BREAK.startsWith(line) -> problem = SyntaxProblem.CHUNK_END
            line.length > LINE_BYTES_MAX -> problem = SyntaxProblem.SIZE
            byte == LINE_FEED -> {
                val text = line.toString()
                line.setLength(0)
                acceptLine(text)
            }
        }
    }

    private fun acceptLine(text: String) {
        val content = text.removeSuffix(LINE_BREAK)
        val isEnded = content.length < text.length
        when (expected) {
            Expected.SIZE -> acceptSize(content, isEnded)
            Expected.TRAILER -> acceptTrailer(content, isEnded)
            else -> expected = Expected.SIZE
        }
    }

    private fun acceptSize(content: String, isEnded: Boolean) {
        val size = if (isEnded) SIZE_LINE.matchEntire(content)?.groupValues?.get(1)?.toIntOrNull(HEXADECIMAL) else null
        bytesLeft = size ?: 0
        expected = if (bytesLeft > 0) Expected.BYTES else Expected.TRAILER
        if (size == null) problem = SyntaxProblem.CHUNK_SIZE
    }

    private fun acceptTrailer(content: String, isEnded: Boolean) {
        trailerBytes += content.length
        when {
            !isEnded -> problem = SyntaxProblem.TRAILER
            content.isEmpty() -> expected = Expected.NOTHING
            !isTrailerField(content) -> problem = SyntaxProblem.TRAILER
            trailerBytes > TRAILER_BYTES_MAX -> problem = SyntaxProblem.SIZE
        }
    }
}

private const val TOKEN = """[!#$%&'*+.^_`|~0-9A-Za-z-]+"""
private const val QUOTED = """"(?:[\t !#-\[\]-~\u0080-\u00ff]|\\[\t -~\u0080-\u00ff])*""""

/** The size and the extensions of a chunk. */
private val SIZE_LINE = Regex("""([0-9A-Fa-f]+)(?:[\t ]*;[\t ]*$TOKEN(?:[\t ]*=[\t ]*(?:$TOKEN|$QUOTED))?)*""")

private const val HEXADECIMAL = 16
internal const val BYTE_MASK: Int = 0xff
internal const val LINE_FEED: Byte = '\n'.code.toByte()
private const val LINE_BYTES_MAX = 8 * 1024
private const val TRAILER_BYTES_MAX = 32 * 1024
