/**
 * Authentication of frames: HMAC-SHA256 under a key of the session and direction, over sequence number and body.
 *
 * A frame that was changed, left out, repeated, reordered or taken from another session fails the check.
 */
package pistachiopass.entry.peer

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Returns the HMAC-SHA256 of [parts], one after the other, under [key]. */
internal fun hmacOf(key: ByteArray, vararg parts: ByteArray): ByteArray {
    val mac = Mac.getInstance(MAC_ALGORITHM)
    mac.init(SecretKeySpec(key, MAC_ALGORITHM))
    parts.forEach(mac::update)
    return mac.doFinal()
}

/** Returns [body] with its length in front. */
internal fun lengthPrefixed(body: ByteArray): ByteArray =
    ByteBuffer.allocate(LENGTH_BYTES + body.size).putInt(body.size).put(body).array()

/** Seals the frames of one direction; for one writer. */
internal class FrameSigner(private val key: ByteArray) {
    private var sequence: Long = 0

    /** Returns the bytes to write for [body]: length, body and code. */
    fun sign(body: ByteArray): ByteArray = lengthPrefixed(body + hmacOf(key, sequenceBytes(sequence++), body))
}

/** Checks the frames of one direction; for one reader. */
internal class FrameVerifier(private val key: ByteArray) {
    private var sequence: Long = 0

    /** Returns the body of [signed], or null when it is not the next frame that the peer signed. */
    fun verifyOrNull(signed: ByteArray): ByteArray? {
        if (signed.size < MAC_BYTES) return null
        val body = signed.copyOf(signed.size - MAC_BYTES)
        val code = signed.copyOfRange(body.size, signed.size)
        val expected = hmacOf(key, sequenceBytes(sequence++), body)
        return body.takeIf { MessageDigest.isEqual(expected, code) }
    }
}

/** Length of the code at the end of a signed frame. */
internal const val MAC_BYTES: Int = 32

/** Length of the length prefix. */
internal const val LENGTH_BYTES: Int = Int.SIZE_BYTES

private const val MAC_ALGORITHM: String = "HmacSHA256"

private fun sequenceBytes(sequence: Long): ByteArray = ByteBuffer.allocate(Long.SIZE_BYTES).putLong(sequence).array()
