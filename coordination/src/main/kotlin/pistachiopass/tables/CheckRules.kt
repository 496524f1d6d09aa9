/** Checks of single values that several documents share: numbers, names, addresses and duplicates. */
package pistachiopass.tables

/** Returns an error unless [value] is positive. */
internal fun Place.checkPositive(value: Long): List<Problem> =
    if (value > 0) emptyList() else listOf(error(value, "a number above zero"))

/** Returns an error if [value] is negative. */
internal fun Place.checkNotNegative(value: Long): List<Problem> =
    if (value >= 0) emptyList() else listOf(error(value, "zero or a number above zero"))

/** Returns an error if [value] is above [limit], which is the value of the field [limitName]. */
internal fun Place.checkAtMost(
    value: Long,
    limitName: String,
    limit: Long,
): List<Problem> = if (value <= limit) emptyList() else listOf(error(value, "at most $limitName, which is $limit"))

/** Returns an error if [value] is blank, begins or ends with whitespace, or has control characters. */
internal fun Place.checkName(value: String): List<Problem> =
    if (value.isNotBlank() && value == value.trim() && value.none(Char::isISOControl)) {
        emptyList()
    } else {
        listOf(error("\"$value\"", "a name without surrounding spaces or control characters"))
    }

/** Returns an error unless [value] begins with a slash. */
internal fun Place.checkPath(value: String): List<Problem> =
    if (value.startsWith("/")) emptyList() else listOf(error("\"$value\"", "a path that begins with /"))

/** Returns an error unless [value] is a host name or IP address with a port. */
internal fun Place.checkAddress(value: String): List<Problem> =
    if (isAddress(value)) {
        emptyList()
    } else {
        listOf(error("\"$value\"", "host and port such as 127.0.0.1:9001 or [::1]:9001"))
    }

/** Returns an error for each element whose [key] an earlier element has too; [at] returns the place of an element. */
internal fun <T, K : Any> List<T>.duplicateProblems(
    key: (T) -> K,
    at: (Int, T) -> Place,
): List<Problem> {
    val firstIndexes = HashMap<K, Int>()
    return flatMapIndexed { index, item ->
        val first = firstIndexes.putIfAbsent(key(item), index)
        if (first == null) {
            emptyList()
        } else {
            listOf(at(index, item).error(key(item), "a value other than that of ${at(first, this[first]).path}"))
        }
    }
}

/** Returns whether [value] is a host name or IP address with a port. */
public fun isAddress(value: String): Boolean {
    val host = value.substringBeforeLast(':', "")
    val port = value.substringAfterLast(':')
    val portFits = port.length <= PORT_DIGITS && port.all { it in '0'..'9' } && port.toIntOrNull() in PORTS
    return portFits && (ipV4.matches(host) || ipV6.matches(host) || isHostName(host))
}

/** A name whose last label has no letter is taken for a malformed IP address. */
private fun isHostName(host: String): Boolean =
    host.length <= HOST_NAME_CHARS && hostName.matches(host) && host.substringAfterLast('.').any(Char::isLetter)

private const val PORT_DIGITS: Int = 5
private const val HOST_NAME_CHARS: Int = 253
private const val PORT_MAX: Int = 65_535
private val PORTS: IntRange = 1..PORT_MAX
private val ipV4 = Regex("""((25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(?!$)|$)){4}""")
private val ipV6 = Regex("""\[(?=[^\]]*:[^\]]*:)[0-9a-fA-F:]+(%\w+)?]""")
private val hostName = Regex("""[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?(\.[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?)*""")
