/**
 * Decides whether bytes are a well-formed HTTP/1.1 response, for all clients of the project.
 *
 * The parsers of client libraries accept more than RFC 9112 does, and then read a response in another sense than it
 * was sent: a field whose name has a blank becomes another field, and a length that is no number becomes none. Clients
 * check the bytes here and give up a response that does not conform, whatever their parser makes of it.
 */
package pistachiopass.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** The part of a response that does not conform. */
public enum class SyntaxProblem { STATUS_LINE, FIELD, LENGTH, TRANSFER_CODING, CHUNK_SIZE, CHUNK_END, TRAILER, SIZE }

/** How a recipient finds the end of a body. */
public sealed interface BodyFraming {
    /** The response has no body, whatever its fields say. */
    public data object None : BodyFraming

    /** The body has [bytes] bytes. */
    public data class Length(val bytes: Long) : BodyFraming

    public data object Chunks : BodyFraming

    /** The body ends with the connection. */
    public data object Connection : BodyFraming
}

/** What the status line and the fields of a response state about its framing, if it is not a response to HEAD. */
public data class ResponseFraming(val status: Int, val body: BodyFraming) {
    /** Whether another response to the same request follows. */
    public val isInterim: Boolean get() = status < FIRST_FINAL_STATUS
}

/**
 * Returns what [head] states about the framing of its response, or the part of it that is malformed.
 *
 * [head] is the status line and the fields with the blank line after them, one character for each byte. A response is
 * malformed as well if its framing is ambiguous, as with a length and chunks, or if it switches protocols.
 */
public fun framingOf(head: String): Result<ResponseFraming, SyntaxProblem> {
    val lines = head.split(LINE_BREAK)
    val match = STATUS_LINE.matchEntire(lines.first()) ?: return Err(SyntaxProblem.STATUS_LINE)
    val (minorVersion, code) = match.destructured
    val status = code.toInt()
    val fields = lines.drop(1).dropLast(BLANK_LINE_PARTS)
    return when {
        status == STATUS_SWITCHING_PROTOCOLS -> Err(SyntaxProblem.STATUS_LINE)
        !head.endsWith(LINE_BREAK + LINE_BREAK) || !fields.all(::isField) -> Err(SyntaxProblem.FIELD)
        else -> framingOf(status, minorVersion.toInt(), fields)
    }
}

private fun framingOf(status: Int, minorVersion: Int, fields: List<String>): Result<ResponseFraming, SyntaxProblem> {
    val codings = valuesOf(fields, "transfer-encoding")
    val lengths = valuesOf(fields, "content-length")
    val length = lengths.singleOrNull()?.takeIf(LENGTH::matches)?.toLongOrNull()
    val mayHaveBody = status >= FIRST_FINAL_STATUS && status != STATUS_NO_CONTENT
    return when {
        codings.isNotEmpty() && !(isChunked(codings) && minorVersion > 0 && mayHaveBody) ->
            Err(SyntaxProblem.TRANSFER_CODING)
        lengths.isNotEmpty() && (length == null || codings.isNotEmpty() || !(mayHaveBody || length == 0L)) ->
            Err(SyntaxProblem.LENGTH)
        else -> Ok(ResponseFraming(status, bodyFramingOf(status, codings, length)))
    }
}

private fun bodyFramingOf(status: Int, codings: List<String>, length: Long?): BodyFraming = when {
    status < FIRST_FINAL_STATUS || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED -> BodyFraming.None
    codings.isNotEmpty() -> BodyFraming.Chunks
    length != null -> BodyFraming.Length(length)
    else -> BodyFraming.Connection
}

private fun isChunked(codings: List<String>): Boolean = codings.singleOrNull().equals("chunked", ignoreCase = true)

private fun valuesOf(fields: List<String>, name: String): List<String> =
    fields.filter { nameOf(it).equals(name, ignoreCase = true) }.map { it.substringAfter(':').trim(' ', '\t') }

private fun nameOf(field: String): String = field.substringBefore(':')

/** Returns whether [line] is a field, as in heads and trailers; folded values are not. */
internal fun isField(line: String): Boolean {
    val colon = line.indexOf(':')
    return colon > 0 && (0 until colon).all { isTokenCharacter(line[it]) } &&
        (colon + 1 until line.length).all { isTextCharacter(line[it]) }
}

/** Returns whether [line] is a field that may stand in a trailer: one that changes neither framing nor body. */
internal fun isTrailerField(line: String): Boolean = isField(line) && nameOf(line).lowercase() !in HEAD_ONLY_FIELDS

private fun isTokenCharacter(character: Char): Boolean =
    character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in TOKEN_SYMBOLS

private fun isTextCharacter(character: Char): Boolean =
    character == '\t' || (character >= ' ' && character != DELETE && character <= LAST_BYTE)

internal const val LINE_BREAK: String = "\r\n"
private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
private const val DELETE = '\u007f'
private const val LAST_BYTE = '\u00ff'

/** Empty strings that the line breaks of the last field and of the blank line leave behind them. */
private const val BLANK_LINE_PARTS = 2

private val STATUS_LINE = Regex("""HTTP/1\.([0-9]) ([1-5][0-9]{2}) [\t\u0020-\u007e\u0080-\u00ff]*""")
private val LENGTH = Regex("[0-9]+")

private const val FIRST_FINAL_STATUS = 200
private const val STATUS_SWITCHING_PROTOCOLS = 101
private const val STATUS_NO_CONTENT = 204
private const val STATUS_NOT_MODIFIED = 304

/** Fields that RFC 9110, section 6.5.1, excludes from trailers. */
private val HEAD_ONLY_FIELDS = setOf(
    "content-encoding",
    "content-length",
    "content-range",
    "content-type",
    "host",
    "trailer",
    "transfer-encoding",
)
