/**
 * Problems found in a document: where they are, what was found and what was expected.
 *
 * A problem states its place twice: as a path in the JSON text and by the names of the enclosing route, pool, endpoint
 * or instance, because an element in a list of a thousand endpoints is hard to find by its index.
 */
package pistachiopass.tables

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The documents that the configuration service of the platform publishes: two tables and the instance list.
 *
 * In names such as [TableCheck] and [TablesInForce], a table is any of the three.
 */
@Serializable
public enum class DocumentName(public val text: String) {
    @SerialName("routes")
    ROUTES("routes"),

    @SerialName("pools")
    POOLS("pools"),

    @SerialName("instances")
    INSTANCES("instances"),
    ;

    override fun toString(): String = text
}

/** Whether a problem prevents a document from being accepted. */
@Serializable
public enum class Severity(public val text: String) {
    /** The whole document is refused. */
    @SerialName("error")
    ERROR("error"),

    /** The document is accepted, but operators may have meant something else. */
    @SerialName("warning")
    WARNING("warning"),
}

/** One problem of a document. */
@Serializable
public data class Problem(
    val severity: Severity,
    val document: DocumentName,
    /** JSON path such as `pools[2].endpoints[0].slots`; empty for the whole document. */
    val place: String,
    /** Names of the enclosing elements, outermost first, such as `pool drape` and `endpoint e7`. */
    val names: List<String>,
    /** The value that was found; null if there was none. */
    val value: String?,
    val expected: String,
) {
    /** Returns the problem as one line for operators. */
    override fun toString(): String {
        val where = place.ifEmpty { "document" }
        val around = if (names.isEmpty()) "" else " (${names.joinToString()})"
        val found = value ?: "nothing"
        return "${severity.text}: $document: $where$around: found $found, expected $expected"
    }
}

/** Returns whether any of the problems prevents its document from being accepted. */
public fun List<Problem>.hasErrors(): Boolean = any { it.severity == Severity.ERROR }

/** A value and its place in a document. */
internal data class Placed<out T>(val place: Place, val value: T)

/** A place in a document. */
internal data class Place(
    val document: DocumentName,
    val path: String = "",
    val names: List<String> = emptyList(),
) {
    fun field(name: String): Place = copy(path = if (path.isEmpty()) name else "$path.$name")

    /** Returns the place of the element at [index] of the list at this place; [name] is the name of that element. */
    fun element(
        index: Int,
        name: String?,
    ): Place {
        val list = path.substringAfterLast('.')
        val label = name?.let { "${list.removeSuffix("s")} $it" }
        return copy(path = "$path[$index]", names = names + listOfNotNull(label))
    }

    fun error(
        value: Any?,
        expected: String,
    ): Problem = Problem(Severity.ERROR, document, path, names, value?.toString(), expected)

    fun warning(
        value: Any?,
        expected: String,
    ): Problem = Problem(Severity.WARNING, document, path, names, value?.toString(), expected)
}
