/** Command lines of the processes of a fleet. */
package pistachiopass.proof.harness

import pistachiopass.model.Endpoint
import java.nio.file.Files
import java.nio.file.Path

/** Returns the options with which a stand-in plays [engine]. */
internal fun engineOptions(engine: Endpoint): List<String> = mapOf(
    "id" to engine.id,
    "capacity-tokens" to engine.budgetTokens,
    "slots" to engine.slots,
    "cold-budget-tokens" to engine.coldBudgetTokens,
    "cold-slots" to engine.coldSlots,
    "warm-after-tokens" to WARM_AFTER_TOKENS,
    "start-cold" to false,
    "prefill-tokens-per-second" to PREFILL_TOKENS_PER_SECOND,
    "retention-millis" to RETENTION_MILLIS,
    "models" to MODEL,
).flatMap { (name, value) -> listOf("--$name", value.toString()) }

internal val Endpoint.port: String get() = address.substringAfterLast(':')

/** How the built jars are started. */
internal class Jars {
    private val root: Path = Path.of(System.getProperty("workspace.root") ?: ".")
    private val java: List<String> = listOf(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:TieredStopAtLevel=1",
        "-XX:+UseSerialGC",
        "-Xmx96m",
    )

    val entry: List<String> = jar("entry")
    val standins: List<String> = jar("standins")

    private fun jar(module: String): List<String> {
        val file = root.resolve("$module/target/$module-0.1.0.jar")
        check(Files.exists(file)) { "$file is missing; package the workspace first" }
        return java + listOf("-jar", file.toString())
    }
}

private const val WARM_AFTER_TOKENS: Long = 2_000
private const val PREFILL_TOKENS_PER_SECOND: Long = 4_000
private const val RETENTION_MILLIS: Long = 3_000
