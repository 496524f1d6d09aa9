/** Reads pages of the workspace's docs, which tests hold against the code. */
package pistachiopass.entry

import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText

internal fun workspaceText(path: String): String = Path.of(System.getProperty("workspace.root"), path).readText()

/** Returns the rows of all tables of a page whose first cell is in backticks or a number. */
internal fun tableRows(path: String): List<String> =
    Path.of(System.getProperty("workspace.root"), path).readLines().filter { it.matches(Regex("\\| [`0-9].*\\|")) }
