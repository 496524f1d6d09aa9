/** Digest of what a request asks, by which its repeats under other ids are recognized. */
package pistachiopass.gateway.forward

import io.netty.handler.codec.http.HttpHeaderNames
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.model.RequestMetadata
import java.security.MessageDigest

/**
 * Returns the digest of the target, the prompt's headers and the body of the request, in hexadecimal.
 *
 * It is cryptographic, so that no caller can make a request that is taken for another one.
 */
internal fun contentDigestOf(exchange: CallerExchange, metadata: RequestMetadata): String {
    val request = exchange.request
    val lines = listOf(request.method().name(), request.headers().get(HttpHeaderNames.HOST).orEmpty(), request.uri()) +
        metadata.promptHeaders
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(lines.joinToString("\n", postfix = "\n\n").encodeToByteArray())
    exchange.body.nioBuffers().forEach(digest::update)
    return digest.digest().take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }
}

private const val DIGEST_BYTES: Int = 16
