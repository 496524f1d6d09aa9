/** Reading of complete response bodies, for clients whose library accepts some truncated bodies as complete. */
package pistachiopass.entry.endpoint

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.request
import io.ktor.http.HttpMethod
import io.ktor.http.contentLength
import io.ktor.utils.io.readRemaining
import kotlinx.io.EOFException
import kotlinx.io.readByteArray

/**
 * Returns the body, or its first [maxBytes] bytes if it is longer.
 *
 * Throws an `IOException` if the connection ended before the body. Only a client that checks the bytes of its responses
 * detects the truncation of a body with neither a content length nor chunks.
 */
public suspend fun HttpResponse.readWholeBody(maxBytes: Long = Long.MAX_VALUE): ByteArray {
    val channel = bodyAsChannel()
    val bytes = channel.readRemaining(maxBytes).readByteArray()
    val declaredBytes = contentLength().takeIf { request.method != HttpMethod.Head } ?: 0
    val isCutOff = bytes.size < maxBytes && (channel.closedCause != null || bytes.size < declaredBytes)
    if (isCutOff) throw EOFException("response body truncated after ${bytes.size} bytes")
    return bytes
}
