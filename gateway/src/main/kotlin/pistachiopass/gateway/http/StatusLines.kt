/**
 * Finds status lines where none may stand: an engine that responds twice, once in part, sends a second response inside
 * the head or in the place of the body of the first.
 */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import kotlin.text.Charsets.US_ASCII

/** Returns whether a status line stands inside the head of [response]: a head broke off and another one followed. */
internal fun hasTwoHeads(response: HttpResponse): Boolean =
    hasStatusLine(response.status().reasonPhrase()) || response.headers().any { hasStatusLine(it.value) }

/** Returns whether [body] begins with a status line: a second response was written in its place. */
internal fun beginsWithStatusLine(body: ByteBuf): Boolean =
    body.readableBytes() >= STATUS_BYTES && body.getByte(body.readerIndex()) == FIRST_STATUS_BYTE &&
        STATUS_LINE.matchesAt(body.toString(body.readerIndex(), STATUS_BYTES, US_ASCII), 0)

/** Returns whether [body] is not empty and all of it may be the beginning of a status line. */
internal fun mayBeginStatusLine(body: ByteBuf): Boolean =
    body.isReadable && body.readableBytes() < STATUS_BYTES &&
        body.toString(US_ASCII).let { it.startsWith(STATUS_START) || STATUS_START.startsWith(it) }

private fun hasStatusLine(text: String): Boolean = "HTTP/" in text && STATUS_LINE.containsMatchIn(text)

private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")

private const val STATUS_START: String = "HTTP/"
private const val FIRST_STATUS_BYTE: Byte = 'H'.code.toByte()

/** Length of a status line up to its status. */
private const val STATUS_BYTES: Int = 12
