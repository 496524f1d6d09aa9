/** Helpers of tests: reading of the documents that tests compare with the code, and tables of cases. */
package pistachiopass.entry

import org.junit.jupiter.api.DynamicTest
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText

internal fun workspaceText(path: String): String = Path.of(System.getProperty("workspace.root"), path).readText()

/** Returns the rows of all tables of a document whose first cell is in backticks or a number. */
internal fun tableRows(path: String): List<String> =
    Path.of(System.getProperty("workspace.root"), path).readLines().filter { it.matches(Regex("\\| [`0-9].*\\|")) }

/** Returns one test for each of [cases]. */
internal fun <T> casesOf(cases: List<T>, check: (T) -> Unit): List<DynamicTest> =
    cases.mapIndexed { index, case -> DynamicTest.dynamicTest("$index: $case") { check(case) } }
