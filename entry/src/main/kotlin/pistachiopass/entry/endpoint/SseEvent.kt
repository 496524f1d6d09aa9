/**
 * Parser of server-sent events from an engine.
 *
 * The client library's own parser does not limit the length of a line. This one does, since an endpoint must not be
 * able to exhaust the instance's memory.
 */
package pistachiopass.entry.endpoint

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLineStrict

/** One server-sent event. */
public data class SseEvent(val id: String?, val data: String)

/** Returns the next event, or null at the end of the stream. Throws if a line exceeds [maxLineBytes]. */
public suspend fun ByteReadChannel.readSseEventOrNull(maxLineBytes: Int = MAX_SSE_LINE_BYTES): SseEvent? {
    var id: String? = null
    val data = ArrayList<String>(1)
    while (true) {
        val line = readLineStrict(maxLineBytes.toLong()) ?: return null
        when {
            line.isEmpty() -> if (data.isNotEmpty()) return SseEvent(id, data.joinToString("\n"))
            line.startsWith("id:") -> id = line.fieldValue("id:")
            line.startsWith("data:") -> data += line.fieldValue("data:")
        }
    }
}

private fun String.fieldValue(prefix: String): String = removePrefix(prefix).removePrefix(" ")

/** Greatest accepted length of a line. */
public const val MAX_SSE_LINE_BYTES: Int = 64 * 1024
