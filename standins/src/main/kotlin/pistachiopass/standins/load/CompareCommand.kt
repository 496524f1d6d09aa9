/** The subcommand `compare`, which sets two load reports side by side. */
package pistachiopass.standins.load

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText

/** Prints the differences per band between two report files. */
@OptIn(ExperimentalCli::class)
public class CompareCommand : Subcommand("compare", "Compares two load reports") {
    private val first: String by argument(ArgType.String, description = "JSON file of the first report")
    private val second: String by argument(ArgType.String, description = "JSON file of the second report")

    override fun execute(): Unit = print(reportOf(first).compare(reportOf(second)))

    private fun reportOf(file: String): LoadTestReport = Json.decodeFromString(Path.of(file).readText())
}
