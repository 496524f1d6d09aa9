/** Positions of values in a JSON text, which kotlinx.serialization does not report. */
package pistachiopass.entry.settings

import kotlinx.serialization.json.Json

/** Line and column of a character, both counted from 1. */
public data class TextPosition(val line: Int, val column: Int) {
    override fun toString(): String = "$line:$column"
}

/** Start of the value at each path of [text], and the paths that occur more than once. */
internal class JsonPositions(
    private val text: String,
    private val offsets: Map<String, Int>,
    val repeated: Set<String>,
) {
    /** Returns the position of the value at [path], or else that of its parent. */
    fun positionOf(path: String): TextPosition = positionAt(text, offsets[path] ?: offsetOfParent(path))

    private fun offsetOfParent(path: String): Int =
        offsets[path.substringBeforeLast('.', missingDelimiterValue = "")] ?: 0
}

/** Returns the positions of all values of [text], which must be well-formed. */
internal fun jsonPositionsOf(text: String): JsonPositions {
    val scanner = JsonScanner(text)
    scanner.scanValue(path = "")
    return JsonPositions(text, scanner.offsets, scanner.repeated)
}

internal fun positionAt(text: String, offset: Int): TextPosition {
    val before = text.take(offset)
    return TextPosition(before.count { it == '\n' } + 1, offset - before.lastIndexOf('\n'))
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
