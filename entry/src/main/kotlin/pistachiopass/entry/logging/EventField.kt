/**
 * Named values of a log line.
 *
 * Fields deliberately cannot hold arbitrary text: text is written only if it is a short token without spaces, and is
 * replaced by [HIDDEN] otherwise. This prevents prompts and keys from being logged by mistake.
 */
package pistachiopass.entry.logging

import pistachiopass.model.Verdict
import java.security.MessageDigest
import java.util.HexFormat

/** Named value of a log line, created by `field`, [tokenField] or [fingerprintField]. */
public class EventField internal constructor(public val name: String, internal val value: Any) {
    init {
        require(isFieldName(name)) { "field name $name is malformed or reserved" }
    }

    override fun toString(): String = "$name=$value"
}

/** Returns a field with a number; [name] ends in the unit. */
public fun field(name: String, value: Long): EventField = EventField(name, value)

/** Returns a field with a number; [name] ends in the unit. */
public fun field(name: String, value: Int): EventField = EventField(name, value)

/** Returns a field with a Boolean value. */
public fun field(name: String, value: Boolean): EventField = EventField(name, value)

/** Returns a field with the lower-case name of an enum constant. */
public fun field(name: String, value: Enum<*>): EventField = EventField(name, value.name.lowercase())

/** Returns a field with the text of a verdict that callers receive. */
public fun field(name: String, value: Verdict): EventField = EventField(name, value.text)

/** Returns a field with the class and origin of [error]; its message is omitted, since it may quote a body. */
public fun field(name: String, error: Throwable): EventField {
    val frames = error.stackTrace
    val origin = frames.find { it.className.startsWith(PROJECT_PREFIX) } ?: frames.firstOrNull()
    val place = origin?.let { " at ${it.fileName}:${it.lineNumber}" }.orEmpty()
    return EventField(name, error.javaClass.name + place)
}

/**
 * Returns a field with a short token, such as an address, the path of a field or a reason.
 *
 * Text that is longer than [TOKEN_LENGTH_MAX], has spaces or looks like a key is replaced by [HIDDEN].
 */
public fun tokenField(name: String, token: String): EventField = EventField(name, safeToken(token))

/** Returns a field with the start of the SHA-256 of [secret], by which lines about one key can be matched. */
public fun fingerprintField(name: String, secret: String): EventField {
    val digest = MessageDigest.getInstance("SHA-256").digest(secret.toByteArray())
    return EventField(name, HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES))
}

/** Placeholder in log lines for text that must not be written. */
public const val HIDDEN: String = "(hidden)"

/** Greatest length of a token that is written. */
public const val TOKEN_LENGTH_MAX: Int = 128

private const val PROJECT_PREFIX: String = "pistachiopass."
private const val FINGERPRINT_BYTES: Int = 6
