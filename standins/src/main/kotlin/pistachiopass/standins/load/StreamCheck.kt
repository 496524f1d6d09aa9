/** Checks that a streamed answer is whole: offsets without a gap, a finish reason and `[DONE]` at the end. */
package pistachiopass.standins.load

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject

/** Takes the lines of one SSE answer; not safe for use by several threads. */
public class StreamCheck {
    private var offset: Long? = null
    private var finished: Boolean = false
    private var done: Boolean = false

    /** Tokens received so far. */
    public var tokens: Long = 0
        private set

    /** What was wrong first, or null. */
    public var flaw: String? = null
        private set

    /** Returns null for a whole answer, or else what is wrong with it. Call it after the last line. */
    public fun flawAtEndOrNull(): String? = flaw ?: "no [DONE]".takeIf { !done }

    /** Takes one line and returns whether it carried a token. */
    public fun takeLine(line: String): Boolean {
        if (line.startsWith(ID_PREFIX)) offset = offsetOrNull(line.removePrefix(ID_PREFIX).trim())
        if (!line.startsWith(DATA_PREFIX)) return false
        val before = tokens
        takeData(line.removePrefix(DATA_PREFIX).trim())
        return tokens > before
    }

    private fun takeData(data: String) {
        when {
            done -> fail("event after [DONE]")
            data == "[DONE]" -> {
                done = true
                if (!finished) fail("no finish reason")
            }
            else -> takeChunk(data)
        }
    }

    private fun takeChunk(data: String) {
        if (offset != tokens) fail("offset $offset in place of $tokens")
        if (finished) fail("chunk after the finish reason")
        val choice =
            try {
                Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.firstOrNull()?.jsonObject
            } catch (_: SerializationException) {
                null
            }
        val reason = (choice?.get("finish_reason") as? JsonPrimitive)?.content
        when {
            choice == null -> fail("chunk without a choice")
            reason != null && reason != "null" -> finished = true
            else -> tokens++
        }
    }

    private fun fail(text: String) {
        if (flaw == null) flaw = text
    }
}

/** Returns the offset of a chunk: an engine's id names it, a daemon's id names the chunk after it. */
private fun offsetOrNull(id: String): Long? {
    if (':' in id) return id.substringAfterLast(':').toLongOrNull()
    return id.split('.').getOrNull(1)?.toLongOrNull()?.minus(1)
}

private const val ID_PREFIX: String = "id:"
private const val DATA_PREFIX: String = "data:"
