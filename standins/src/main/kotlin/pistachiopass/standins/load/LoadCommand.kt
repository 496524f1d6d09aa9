/** The subcommand `load`, which measures entry instances under a scenario. */
package pistachiopass.standins.load

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Runs the scenario of a file against the targets and writes the report. */
@OptIn(ExperimentalCli::class)
public class LoadCommand : Subcommand("load", "Measures entry instances under load") {
    private val targets: String by option(ArgType.String, description = "host:port of each, by commas").required()
    private val scenario: String? by option(ArgType.String, description = "JSON file of the scenario")
    private val out: String? by option(ArgType.String, description = "JSON file for the report")
    private val plot: String? by option(ArgType.String, description = "SVG file for the plot")

    override fun execute() {
        val plan = scenario?.let { Json.decodeFromString<Scenario>(Path.of(it).readText()) } ?: Scenario()
        val report =
            LoadCaller(plan, targets.split(',')).use { caller ->
                runBlocking(Dispatchers.Default) { runLoad(plan, ::printProgress, caller::call) }
            }
        out?.let { Path.of(it).writeText(REPORT_JSON.encodeToString(report)) }
        plot?.let { Path.of(it).writeText(report.firstTokenPlot()) }
        print(report.table())
    }

    private fun printProgress(report: LoadTestReport) {
        System.err.println(
            "ended ${report.requests}, answered ${report.answered}, failed ${report.failures.values.sum()}"
        )
    }
}

/** Writes defaults too, so that a report tells its whole scenario. */
private val REPORT_JSON: Json =
    Json {
        encodeDefaults = true
        prettyPrint = true
    }
