/**
 * Tests with random changes to sound responses that the decoder reads what it accepts as it was sent.
 *
 * Guards against bytes that conform for the check and that the library reads in another sense.
 */
package pistachiopass.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.casesOf
import pistachiopass.http.SingleResponseSyntax
import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.text.Charsets.ISO_8859_1

/** What the decoder made of a response. */
private class Decoded(val status: String, val fields: List<String>, val body: String)

class ResponseDecoderTest {
    @TestFactory
    fun `what is accepted is read as it was sent`(): List<DynamicTest> = casesOf((1L..SEEDS).toList()) { seed ->
        val random = Random(seed)
        var accepted = 0
        repeat(CHANGES_PER_SEED) {
            val text = changed(SOUND.random(random), random)
            val decoded = decodedOrNull(text, random) ?: return@repeat
            accepted++
            val syntax = SingleResponseSyntax { false }
            syntax.accept(ByteBuffer.wrap(text.toByteArray(ISO_8859_1)))
            assertTrue(syntax.isWholeAtClose(isRequestSent = true), "whole: $text")
            val (head, body) = text.split("\r\n\r\n", limit = 2)
            assertEquals(head.lines().first().take(STATUS_BYTES), decoded.status, text)
            assertEquals(head.lines().drop(1).map(::trimmedField), decoded.fields, text)
            assertEquals(expectedBody(head, body), decoded.body, text)
        }
        assertTrue(accepted > 0, "no changed response was accepted")
    }

    /** Replaces, removes or adds one or two characters of [text]. */
    private fun changed(text: String, random: Random): String {
        val builder = StringBuilder(text)
        repeat(random.nextInt(1, CHANGES_MAX)) {
            val index = random.nextInt(builder.length)
            when (random.nextInt(CHANGE_KINDS)) {
                0 -> builder.setCharAt(index, CHARACTERS.random(random))
                1 -> builder.deleteCharAt(index)
                else -> builder.insert(index, CHARACTERS.random(random))
            }
        }
        return builder.toString()
    }

    private fun decodedOrNull(text: String, random: Random): Decoded? {
        var isMalformed = false
        val channel = EmbeddedChannel(ResponseDecoder({ true }) { isMalformed = true })
        val split = random.nextInt(text.length)
        listOf(text.take(split), text.drop(split)).forEach {
            channel.writeInbound(Unpooled.copiedBuffer(it, ISO_8859_1))
        }
        channel.finish()
        val messages = generateSequence { channel.readInbound<Any>() }.toList()
        val head = messages.firstOrNull() as? HttpResponse
        val contents = messages.filterIsInstance<HttpContent>()
        val isEnded = messages.count { it is HttpResponse } == 1 && contents.lastOrNull() is LastHttpContent
        val isSound = head?.decoderResult()?.isSuccess == true && contents.all { it.decoderResult().isSuccess }
        val body = contents.joinToString("") { it.content().toString(ISO_8859_1) }
        contents.forEach { it.release() }
        val isAccepted = isEnded && isSound && !isMalformed
        if (head == null || !isAccepted) return null
        val status = "${head.protocolVersion()} ${"%03d".format(head.status().code())}"
        return Decoded(status, head.headers().map { "${it.key}:${it.value}" }, body)
    }

    private fun expectedBody(head: String, bytes: String): String {
        val lengthOrNull = Regex("(?i)\ncontent-length:[ \t]*([0-9]+)").find(head)?.groupValues?.get(1)?.toInt()
        val isChunked = head.contains("\ntransfer-encoding:", ignoreCase = true)
        return if (isChunked) bodyOfChunks(bytes) else bytes.take(lengthOrNull ?: bytes.length)
    }

    private fun trimmedField(line: String): String =
        "${line.substringBefore(':')}:${line.substringAfter(':').trim(' ', '\t')}"

    private fun bodyOfChunks(text: String): String {
        val size = text.takeWhile { it.isLetterOrDigit() }.toInt(radix = 16)
        val bytes = text.substringAfter("\r\n")
        return if (size == 0) "" else bytes.take(size) + bodyOfChunks(bytes.drop(size + 2))
    }

    private companion object {
        const val STATUS_BYTES = 12
        const val SEEDS = 50L
        const val CHANGES_PER_SEED = 400
        const val CHANGES_MAX = 3
        const val CHANGE_KINDS = 3
        const val CHARACTERS = "\r\n\t \u0000\u0001\u000b\u007f\u00e9:;,=\"+-./019afxXcC"
        val SOUND = listOf(
            "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\ndone",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n" +
                "2;a=b\r\ndo\r\n2\r\nne\r\n0\r\nX-B: c\r\n\r\n",
        )
    }
}
