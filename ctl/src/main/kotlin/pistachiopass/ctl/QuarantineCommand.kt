/** `pistachioctl quarantine`: shows the prompt parts that an instance refuses, and lifts a quarantine. */
package pistachiopass.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import pistachiopass.entry.http.checkedHttpClientOf
import pistachiopass.quarantine.QUARANTINE_PATH
import pistachiopass.quarantine.QuarantinedPart
import pistachiopass.tables.isAddress

/** Prints the quarantined parts of one instance; a part that is lifted there is lifted at all instances. */
internal class QuarantineCommand(console: Console) :
    Command("quarantine", "Show the prompt parts that are refused since endpoints ended on them", console) {
    private val address by option(
        ArgType.String,
        "address",
        description = "Control address HOST:PORT of an instance",
    ).required()
    private val lift by option(ArgType.String, "lift", description = "Part whose quarantine ends at all instances")

    override fun run(): Int {
        if (!isAddress(address)) {
            console.printError("--address $address: expected HOST:PORT")
            return EXIT_USAGE
        }
        return runBlocking { ask() }.mapBoth(success = ::print, failure = {
            console.printError("$address: $it")
            EXIT_PROBLEMS
        })
    }

    private suspend fun ask(): Result<List<QuarantinedPart>, String> =
        checkedHttpClientOf().use { client ->
            readWithin(TIMEOUT_MILLIS) {
                val url = "http://$address$QUARANTINE_PATH"
                val part = lift
                partsOf(if (part == null) client.get(url) else client.delete("$url/${part.encodeURLPathPart()}"))
            }
        }

    private suspend fun partsOf(response: HttpResponse): Result<List<QuarantinedPart>, String> =
        when {
            response.status.isSuccess() -> Ok(lenientJson.decodeFromString(PARTS, response.bodyAsText()))
            lift != null && response.status == HttpStatusCode.NotFound -> Err("part $lift is not quarantined")
            else -> Err("answered ${response.status}")
        }

    private fun print(parts: List<QuarantinedPart>): Int {
        if (json) console.printJson(PARTS, parts) else parts.map { it.line() }.forEach(console::print)
        if (!json && parts.isEmpty()) console.print("no part is quarantined")
        return EXIT_OK
    }
}

private fun QuarantinedPart.line(): String {
    val until = if (remainingMillis > 0) "$remainingMillis ms left" else "expired, on trial"
    return "part $part: $runs endpoints ended, quarantined $ageMillis ms ago ($strikes in a row), " +
        "$until, $refused refused"
}

private val PARTS = ListSerializer(QuarantinedPart.serializer())
private const val TIMEOUT_MILLIS: Long = 2_000
