/**
 * Problems found in a document: where they are, what was found and what was expected.
 *
 * A problem names its place twice: as a path in the JSON text and by the names of the route, pool, endpoint or instance
 * around it, because a place in a list of a thousand endpoints is hard to find by its number.
 */
package pistachiopass.tables

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names a document of the platform. */
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

/** Tells whether a problem keeps a document from being accepted. */
@Serializable
public enum class Severity(public val text: String) {
    /** The document is refused whole. */
    @SerialName("error")
    ERROR("error"),

    /** The document is accepted; operators may have meant something else. */
    @SerialName("warning")
    WARNING("warning"),
}

/** Describes one problem of a document. */
@Serializable
public data class Problem(
    val severity: Severity,
    val document: DocumentName,
    /** JSON path, `pools[2].endpoints[0].slots`; empty for the document as a whole. */
    val place: String,
    /** Names along the path, outermost first: `pool drape`, `endpoint e7`. */
    val names: List<String>,
    /** What was found; null where nothing was. */
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

/** Returns whether one of the problems keeps its document from being accepted. */
public fun List<Problem>.hasErrors(): Boolean = any { it.severity == Severity.ERROR }

/** Holds a value together with its place. */
internal data class Placed<out T>(val place: Place, val value: T)

/** Points at one place of a document. */
internal data class Place(
    val document: DocumentName,
    val path: String = "",
    val names: List<String> = emptyList(),
) {
    fun field(name: String): Place = copy(path = if (path.isEmpty()) name else "$path.$name")

    /** Returns the place of the element [index] of the list at this place, called [name]. */
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
