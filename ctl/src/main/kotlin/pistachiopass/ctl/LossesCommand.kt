/** `pistachioctl losses`: shows by route which requests were served, late, refused or failed, from log files. */
package pistachiopass.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.vararg

/** Prints the losses of each route; lines that cannot be read are counted and leave the exit code at zero. */
internal class LossesCommand(console: Console) :
    Command("losses", "Show by route which requests were served, late, refused or failed, from log files", console) {
    private val files by argument(ArgType.String, "file", "Log file of an instance; may be repeated").vararg()
    private val targets by option(
        ArgType.String,
        "target",
        description = "ROUTE=FIRST,GAP: time to the first event and between events in milliseconds; may be repeated",
    ).multiple()

    override fun run(): Int {
        val read = targets.associateWith(::latencyTargetOrNull)
        val malformed = read.filterValues { it == null }.keys
        val repeated = read.values.filterNotNull().groupBy { it.route }.filterValues { it.size > 1 }.keys
        malformed.forEach { console.printError("--target $it: expected ROUTE=FIRST,GAP in milliseconds above zero") }
        repeated.forEach { console.printError("--target $it: given more than once with different times") }
        return if (malformed.isEmpty() && repeated.isEmpty()) report(read.values.filterNotNull()) else EXIT_USAGE
    }

    private fun report(targets: List<LatencyTarget>): Int {
        val report = lossReportOf(files.distinct(), targets)
        report.unreadableLines.forEach { (file, count) ->
            console.printError("$file: unreadable lines: $count (no JSON, or malformed fields)")
        }
        val known = report.routes.map { it.route }
        targets.filter { it.route !in known }.forEach { console.printError("--target ${it.route}: no request had it") }
        if (json) {
            console.printJson(LossReport.serializer(), report)
        } else {
            report.routes.flatMap { it.lines() }.ifEmpty { listOf("no requests found") }.forEach(console::print)
        }
        return EXIT_OK
    }
}

private fun RouteLosses.lines(): List<String> = listOf(
    "${route?.let { "route $it" } ?: "without a route"}: requests $requests, served $served, retried $retried",
    "  first event: ${firstEvent.text(target?.firstMillis)}",
    "  longest gap: ${longestGap.text(target?.gapMillis)}",
    "  refused: ${refused.text()}",
    "  failed: ${failed.text()}",
    "  other statuses: ${otherStatuses.text()}",
)

private fun LatencySummary.text(targetMillis: Long?): String {
    val late = targetMillis?.let { ", $late late (over $it ms)" }.orEmpty()
    return if (medianMillis == null) "none" else "median $medianMillis ms, 95th percentile $percentile95Millis ms$late"
}

private fun Map<*, Long>.text(): String = entries.joinToString { (key, count) -> "$key $count" }.ifEmpty { "none" }
