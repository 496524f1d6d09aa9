/** Places of values in a JSON text, which kotlinx.serialization does not report. */
package pistachiopass.entry.settings

import kotlinx.serialization.json.Json

/** Tells line and column of a character, both counted from 1. */
public data class Place(val line: Int, val column: Int) {
    override fun toString(): String = "$line:$column"
}

/** Knows where the value at each path begins and which paths occur more than once. */
internal class JsonPlaces(
    private val text: String,
    private val offsets: Map<String, Int>,
    val repeated: Set<String>,
) {
    /** Returns the place of the value at [path], or that of the nearest object around it. */
    fun placeOf(path: String): Place = placeAt(text, offsets[path] ?: offsetOfParent(path))

    private fun offsetOfParent(path: String): Int =
        offsets[path.substringBeforeLast('.', missingDelimiterValue = "")] ?: 0
}

/** Returns the places of all values of [text], which must be well-formed. */
internal fun jsonPlacesOf(text: String): JsonPlaces {
    val scanner = JsonScanner(text)
    scanner.scanValue(path = "")
    return JsonPlaces(text, scanner.offsets, scanner.repeated)
}

internal fun placeAt(text: String, offset: Int): Place {
    val before = text.take(offset)
    return Place(before.count { it == '\n' } + 1, offset - before.lastIndexOf('\n'))
}

private class JsonScanner(private val text: String) {
    val offsets = HashMap<String, Int>()
    val repeated = LinkedHashSet<String>()
    private var offset = 0

    fun scanValue(path: String) {
        skipBlanks()
        if (offsets.put(path, offset) != null) repeated += path
        when (text[offset]) {
            '{' -> scanObject(path)
            '[' -> scanArray(path)
            '"' -> scanString()
            else -> skipWhile { it !in ",]}" && !it.isWhitespace() }
        }
    }

    private fun scanObject(path: String) =
        scanItems(end = '}') {
            val key = Json.decodeFromString<String>(scanString())
            skipBlanks()
            offset++
            scanValue(if (path.isEmpty()) key else "$path.$key")
        }

    private fun scanArray(path: String) {
        var index = 0
        scanItems(end = ']') { scanValue("$path[${index++}]") }
    }

    private fun scanItems(end: Char, scanItem: () -> Unit) {
        offset++
        skipBlanks()
        while (text[offset] != end) {
            scanItem()
            skipBlanks()
            if (text[offset] == ',') offset++
            skipBlanks()
        }
        offset++
    }

    private fun scanString(): String {
        val start = offset++
        while (text[offset] != '"') offset += if (text[offset] == '\\') 2 else 1
        offset++
        return text.substring(start, offset)
    }

    private fun skipBlanks() = skipWhile { it.isWhitespace() }

    private fun skipWhile(predicate: (Char) -> Boolean) {
        while (offset < text.length && predicate(text[offset])) offset++
    }
}
