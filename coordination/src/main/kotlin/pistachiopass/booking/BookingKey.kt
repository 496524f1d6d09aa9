/**
 * Idempotency keys of bookings. Each key names the incarnation that issued it.
 *
 * Callers pass the text of a key back unchanged. Its message authentication code, under a signing key derived from the
 * shared key of the fleet, proves that one of the instances issued it.
 */
package pistachiopass.booking

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import pistachiopass.model.DataCentreId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.model.Verdict
import pistachiopass.peer.PeerIdentity
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Identifies one run of an instance's process; each start of the process has a new [startId]. */
@Serializable
public data class Incarnation(val instance: InstanceId, val dataCentre: DataCentreId, val startId: StartId)

/** Returns the incarnation of the instance with this identity. */
public fun PeerIdentity.toIncarnation(): Incarnation = Incarnation(instance, dataCentre, startId)

/**
 * Identifies one booking: the [sequence]-th key that [issuer] issued.
 *
 * [expiresAtMillis] counts from the start of the issuer on its own monotonic clock. It only tells operators when an
 * unused key expires; whether a key has expired is decided by the clock of the ledger that holds it.
 */
public data class BookingKey(val issuer: Incarnation, val sequence: Long, val expiresAtMillis: Long)

/** Converts keys to and from signed text; thread-safe. */
public class BookingKeyCodec internal constructor(private val macKey: SecretKeySpec) {
    /** Returns the signed text of [key]. */
    public fun format(key: BookingKey): String {
        val issuer = key.issuer
        val fields = listOf(
            FORMAT_VERSION,
            issuer.dataCentre.value,
            issuer.instance.value,
            issuer.startId.value,
            key.sequence.toString(),
            key.expiresAtMillis.toString(),
        )
        val text = fields.joinToString(SEPARATOR)
        return text + SEPARATOR + macOf(text)
    }

    /** Returns the key in [text], or a `not run` failure when it is malformed or was not issued by the fleet. */
    public fun parse(text: String): Result<BookingKey, Failure> {
        val fields = text.split(SEPARATOR)
        val key = if (fields.size == FIELD_COUNT && fields.first() == FORMAT_VERSION) keyOrNull(fields) else null
        return when {
            key == null -> Err(refused(FailureCode.BAD_REQUEST, "the idempotency key is malformed"))
            !hasValidMac(text) -> Err(refused(FailureCode.NOT_AUTHORIZED, "the idempotency key has no valid signature"))
            else -> Ok(key)
        }
    }

    private fun keyOrNull(fields: List<String>): BookingKey? {
        val (dataCentre, instance, startId) = fields.drop(1)
        val (sequence, expiresAtMillis) = fields.drop(FIRST_NUMBER_INDEX).map { it.toLongOrNull() }
        if (sequence == null || expiresAtMillis == null) return null
        val issuer = Incarnation(InstanceId(instance), DataCentreId(dataCentre), StartId(startId))
        return BookingKey(issuer, sequence, expiresAtMillis)
    }

    private fun hasValidMac(text: String): Boolean {
        val expected = macOf(text.substringBeforeLast(SEPARATOR))
        val actual = text.substringAfterLast(SEPARATOR)
        return MessageDigest.isEqual(expected.encodeToByteArray(), actual.encodeToByteArray())
    }

    private fun macOf(text: String): String = Base64.getUrlEncoder().withoutPadding().encodeToString(
        hmac(macKey, text.encodeToByteArray()),
    )

    private fun refused(code: FailureCode, message: String): Failure = Failure(code, Verdict.NOT_RUN, message)
}

/** Returns a codec whose signing key is derived from [sharedKey] and used for nothing else. */
public fun bookingKeyCodecOf(sharedKey: ByteArray): BookingKeyCodec {
    require(sharedKey.isNotEmpty()) { "sharedKey is empty" }
    val derived = hmac(SecretKeySpec(sharedKey, HMAC_ALGORITHM), KEY_LABEL.encodeToByteArray())
    return BookingKeyCodec(SecretKeySpec(derived, HMAC_ALGORITHM))
}

private fun hmac(key: SecretKeySpec, bytes: ByteArray): ByteArray =
    Mac.getInstance(HMAC_ALGORITHM).apply { init(key) }.doFinal(bytes)

private const val HMAC_ALGORITHM: String = "HmacSHA256"
private const val KEY_LABEL: String = "pistachiopass idempotency keys 1"
private const val FORMAT_VERSION: String = "b1"
private const val SEPARATOR: String = "~"
private const val FIELD_COUNT: Int = 7
private const val FIRST_NUMBER_INDEX: Int = 4
