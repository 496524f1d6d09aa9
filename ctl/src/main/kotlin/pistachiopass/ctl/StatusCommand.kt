/** `pistachioctl status`: shows what instances know and hold. */
package pistachiopass.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import pistachiopass.status.EndpointStatus
import pistachiopass.status.InstanceStatus
import pistachiopass.status.StoreStatus
import pistachiopass.status.TableStatus
import pistachiopass.tables.isAddress

/** Prints the status of each instance; the exit code tells whether all have answered. */
internal class StatusCommand(console: Console) : Command("status", "Show the status of instances", console) {
    private val addresses by option(
        ArgType.String,
        "address",
        description = "Admin address HOST:PORT of an instance; may be repeated",
    ).required().multiple()
    private val timeoutMillis by option(
        ArgType.Int,
        "timeout-millis",
        description = "Longest wait for each instance",
    ).default(DEFAULT_TIMEOUT_MILLIS)

    override fun run(): Int {
        val malformed = addresses.filterNot(::isAddress)
        malformed.forEach { console.printError("--address $it: expected HOST:PORT") }
        if (timeoutMillis <= 0) console.printError("--timeout-millis $timeoutMillis: expected a number above zero")
        if (malformed.isNotEmpty() || timeoutMillis <= 0) return EXIT_USAGE
        val results = runBlocking { askStatus(addresses, timeoutMillis.toLong()) }
        results.filter { it.status == null }.forEach { console.printError("${it.address}: ${it.failure}") }
        if (json) {
            console.printJson(ListSerializer(StatusResult.serializer()), results)
        } else {
            results.mapNotNull { it.status }.flatMap { it.lines() }.forEach(console::print)
        }
        return if (results.all { it.status != null }) EXIT_OK else EXIT_PROBLEMS
    }
}

private fun InstanceStatus.lines(): List<String> =
    listOf(
        "instance $instance in $dataCentre, start $startId: ${if (ready) "ready" else "not ready"}, " +
            "up $uptimeMillis ms, holds $heldBytes bytes",
        "  leases: ${leases.count} for ${leases.tokens} tokens",
        "  ledger: ${ledger.keys} keys in ${ledger.bytes} bytes${if (ledger.sealed) ", sealed" else ""}",
    ) + listOfNotNull(store?.let { "  store: ${it.line()}" }) + tables.map { "  table ${it.line()}" } +
        unread.map { "  not read: $it" } + endpoints.map { "  endpoint ${it.line()}" } +
        peers.map { peer ->
            val silence = peer.silenceMillis?.let { "heard $it ms ago" } ?: "never heard"
            "  peer ${peer.instance}: ${if (peer.reachable) "reachable" else "unreachable"}, $silence"
        }

private fun TableStatus.line(): String {
    val age = ageMillis?.let { "confirmed $it ms ago" } ?: "never confirmed"
    val refused = refusedVersion?.let { ", version $it refused" }.orEmpty()
    val outdated = if (isOutdated) ", outdated: a newer one cannot be read" else ""
    return "$name: version $version, $age$refused$outdated"
}

private fun StoreStatus.line(): String =
    "era $era, revision $revision" + if (heldItems > 0) ", $heldItems items held from an earlier era" else ""

private fun EndpointStatus.line(): String =
    "$id in $dataCentre: ${state.name.lowercase()}, ${if (cold) "cold" else "warm"}, " +
        "$usedTokens used and $leasedTokens leased of $budgetTokens tokens, $runningRequests requests, " +
        "owner ${owner ?: "unknown"}"

private const val DEFAULT_TIMEOUT_MILLIS: Int = 2_000
