/** Checks of names and values of fields. They run for each field of each line, so they use no regular expressions. */
package pistachiopass.entry.logging

internal fun safeToken(text: String): String =
    if (text.length in 1..TOKEN_LENGTH_MAX && text.all(::isTokenCharacter) && !isKeyLike(text)) text else HIDDEN

internal fun isFieldName(name: String): Boolean =
    name.isNotEmpty() && name[0] in 'a'..'z' && name.all(::isAlphanumeric) && name !in RESERVED_NAMES

private fun isTokenCharacter(character: Char): Boolean =
    isAlphanumeric(character) || TOKEN_PUNCTUATION.indexOf(character) >= 0

private fun isAlphanumeric(character: Char): Boolean =
    character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9'

private fun isKeyLike(text: String): Boolean {
    var run = 0
    return text.length >= KEY_LENGTH_MIN &&
        text.any { character ->
            run = if (isAlphanumeric(character)) run + 1 else 0
            run >= KEY_LENGTH_MIN
        }
}

private val RESERVED_NAMES = setOf("time", "level", "event", "number", "requestId")
private const val TOKEN_PUNCTUATION: String = "_.:@#[]-"

/** Length of a run of letters and digits from which on a text may be a key. */
private const val KEY_LENGTH_MIN: Int = 40
