/** Reading of the log lines that end a request, from files in which a log collector may have put a prefix. */
package pistachiopass.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import pistachiopass.entry.logging.Event
import pistachiopass.model.RouteName
import java.io.File
import java.io.IOException

/** Holds the fields of a log line; those that its event does not have are null. */
@Serializable
internal data class RequestLine(
    val event: String? = null,
    /** Is null for a request that was refused before it was admitted to its route. */
    val route: RouteName? = null,
    val status: Int? = null,
    val code: String? = null,
    val verdict: String? = null,
    /** Time to the first byte of the response; negative if none was sent. */
    val firstMillis: Long? = null,
    val pauseMillis: Long? = null,
    val tries: Long? = null,
) {
    /** Whether the line ends a request that got a complete response. */
    val isFinished: Boolean get() = event == Event.REQUEST_FINISHED.text

    /** Whether the line ends a request that was refused or failed. */
    val isFailed: Boolean get() = event == Event.REQUEST_FAILED.text

    /** Whether the line states the outcome, if it ends a request. */
    val isComplete: Boolean get() = (!isFinished || status != null) && (!isFailed || code != null)
}

/** Returns what [line] says after its prefix, or null if that is no JSON object or has malformed fields. */
internal fun requestLineOrNull(line: String): RequestLine? {
    val start = line.indexOf('{')
    if (start < 0) return null
    return try {
        lenientJson.decodeFromString<RequestLine>(line.substring(start)).takeIf { it.isComplete }
    } catch (_: SerializationException) {
        null
    }
}

/**
 * Calls [onLine] with each line of [file] that is not blank, or with null for one that cannot be read.
 *
 * Throws [UnreadableFileException] if the file cannot be read.
 */
internal fun readRequestLines(file: String, onLine: (RequestLine?) -> Unit) {
    try {
        File(file).useLines { lines -> lines.filter { it.isNotBlank() }.forEach { onLine(requestLineOrNull(it)) } }
    } catch (e: IOException) {
        throw UnreadableFileException("$file: cannot be read: ${e.message}", e)
    }
}
