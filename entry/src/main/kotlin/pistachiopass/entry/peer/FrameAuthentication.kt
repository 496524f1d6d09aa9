/**
 * Authentication of frames by HMAC-SHA256 over sequence number and body, with one key per session and direction.
 *
 * The check fails when a frame was altered, dropped, replayed, reordered or taken from another session.
 */
package pistachiopass.entry.peer

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Returns the HMAC-SHA256 of the concatenated [parts] with [key]. */
internal fun hmacOf(key: ByteArray, vararg parts: ByteArray): ByteArray {
    val mac = Mac.getInstance(MAC_ALGORITHM)
    mac.init(SecretKeySpec(key, MAC_ALGORITHM))
    parts.forEach(mac::update)
    return mac.doFinal()
}

/** Returns [body] preceded by its length as a 4-byte big-endian integer. */
internal fun lengthPrefixed(body: ByteArray): ByteArray =
    ByteBuffer.allocate(LENGTH_BYTES + body.size).putInt(body.size).put(body).array()

/** Signs the outgoing frames of a connection in order; for one writer. */
internal class FrameSigner(private val key: ByteArray) {
    private var sequence: Long = 0

    /** Returns the bytes to write for [body]: length, body and MAC. */
    fun sign(body: ByteArray): ByteArray = lengthPrefixed(body + hmacOf(key, sequenceBytes(sequence++), body))
}

/** Verifies the incoming frames of a connection in order; for one reader. */
internal class FrameVerifier(private val key: ByteArray) {
    private var sequence: Long = 0

    /** Returns the body of [signed], or null when it is not the next frame that the peer signed. */
    fun verifyOrNull(signed: ByteArray): ByteArray? {
        if (signed.size < MAC_BYTES) return null
        val body = signed.copyOf(signed.size - MAC_BYTES)
        val mac = signed.copyOfRange(body.size, signed.size)
        val expected = hmacOf(key, sequenceBytes(sequence++), body)
        return body.takeIf { MessageDigest.isEqual(expected, mac) }
    }
}

/** Length of the message authentication code (MAC) at the end of a signed frame. */
internal const val MAC_BYTES: Int = 32

/** Size of the length prefix of a frame. */
internal const val LENGTH_BYTES: Int = Int.SIZE_BYTES

private const val MAC_ALGORITHM: String = "HmacSHA256"

private fun sequenceBytes(sequence: Long): ByteArray = ByteBuffer.allocate(Long.SIZE_BYTES).putLong(sequence).array()
