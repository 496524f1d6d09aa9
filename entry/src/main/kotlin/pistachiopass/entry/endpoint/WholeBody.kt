/** Reading of answers whose end matters: the client library alone takes some bodies that broke off for whole ones. */
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
 * Throws an `IOException` when the connection ended before the body. The end of a body that has neither a length nor
 * chunks is the end of the connection and can't be checked.
 */
public suspend fun HttpResponse.readWholeBody(maxBytes: Long = Long.MAX_VALUE): ByteArray {
    val channel = bodyAsChannel()
    val bytes = channel.readRemaining(maxBytes).readByteArray()
    val declaredBytes = contentLength().takeIf { request.method != HttpMethod.Head } ?: 0
    val isCutOff = bytes.size < maxBytes && (channel.closedCause != null || bytes.size < declaredBytes)
    if (isCutOff) throw EOFException("the body ended after ${bytes.size} bytes")
    return bytes
}
