/** Command line of the stand-in engine. */
package pistachiopass.standins.engine

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.IO_PARALLELISM_PROPERTY_NAME
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking

/** Runs one or several stand-in engines until the process is stopped; prints `ready {port}` for each. */
@OptIn(ExperimentalCli::class)
public class EngineCommand : Subcommand("engine", "Runs stand-in model engines") {
    private val defaults = EngineSettings()
    private val port by option(ArgType.Int, description = "First port; 0 takes free ports").default(0)
    private val id by option(ArgType.String, description = "Endpoint id").default(defaults.endpoint)
    private val count by option(ArgType.Int, description = "Engines with consecutive ids and ports").default(1)
    private val capacityTokens by longOption("capacity-tokens", "KV memory", defaults.capacityTokens)
    private val slots by intOption("slots", "Requests in the batch", defaults.slots)
    private val queueSlots by intOption("queue-slots", "Requests that may wait for a slot", defaults.queueSlots)
    private val coldBudgetTokens by longOption("cold-budget-tokens", "Memory when cold", defaults.coldBudgetTokens)
    private val coldSlots by intOption("cold-slots", "Requests when cold", defaults.coldSlots)
    private val coldGraceMillis by longOption(
        "cold-grace-millis",
        "Time after the fault cold in which requests still count as warm load",
        defaults.coldGraceMillis,
    )
    private val warmAfterTokens by longOption(
        "warm-after-tokens",
        "Tokens of finished requests that make a cold engine warm",
        defaults.warmAfterTokens,
    )
    private val startCold by booleanOption("start-cold", "Whether the engine starts cold", defaults.startCold)
    private val prefillTokensPerSecond by longOption(
        "prefill-tokens-per-second",
        "Prefill speed of an engine that decodes nothing",
        defaults.prefillTokensPerSecond,
    )
    private val decodeTokensPerSecond by longOption(
        "decode-tokens-per-second",
        "Decode speed of one stream on an engine that prefills nothing",
        defaults.decodeTokensPerSecond,
    )
    private val kvTokensPerSecond by longOption(
        "kv-tokens-per-second",
        "Speed of KV export and import",
        defaults.kvTokensPerSecond,
    )
    private val stepTokens by intOption("step-tokens", "Tokens of one step", defaults.stepTokens)
    private val cacheTokens by longOption("cache-tokens", "Memory of the prefix cache", defaults.cacheTokens)
    private val models by option(ArgType.String, description = "Models loaded at start, separated by commas")
        .default(defaults.models.joinToString(","))
    private val modelLoadMillis by longOption(
        "model-load-millis",
        "Time that an order to load takes",
        defaults.modelLoadMillis,
    )
    private val checksFencing by booleanOption(
        "checks-fencing",
        "Whether orders with an old fencing number are refused",
        defaults.checksFencing,
    )
    private val loadLagMillis by longOption("load-lag-millis", "Lag of the load report", defaults.loadLagMillis)
    private val cacheEventLagMillis by longOption(
        "cache-event-lag-millis",
        "Lag of cache events",
        defaults.cacheEventLagMillis,
    )
    private val cacheEventGap by longOption(
        "cache-event-gap",
        "Every so many cache events one is lost; 0 loses none",
        defaults.cacheEventGap,
    )
    private val retentionMillis by longOption(
        "retention-millis",
        "Time for which finished streams are kept",
        defaults.retentionMillis,
    )

    override fun execute() {
        // Each Ktor server keeps one thread of Dispatchers.IO in its selector.
        System.setProperty(IO_PARALLELISM_PROPERTY_NAME, (IO_THREADS + count).toString())
        runBlocking(Dispatchers.Default) { serve() }
    }

    private suspend fun serve(): Unit = coroutineScope {
        for (index in 0 until count) {
            val settings = settings(endpointIdAt(id, index))
            val server = EngineServer(settings, if (port == 0) 0 else port + index, isAlone = count == 1)
            println("ready ${server.start(this)}")
        }
        awaitCancellation()
    }

    private fun settings(endpoint: String): EngineSettings = EngineSettings(
        endpoint = endpoint,
        capacityTokens = capacityTokens,
        slots = slots,
        queueSlots = queueSlots,
        coldBudgetTokens = coldBudgetTokens,
        coldSlots = coldSlots,
        warmAfterTokens = warmAfterTokens,
        coldGraceMillis = coldGraceMillis,
        startCold = startCold,
        prefillTokensPerSecond = prefillTokensPerSecond,
        decodeTokensPerSecond = decodeTokensPerSecond,
        kvTokensPerSecond = kvTokensPerSecond,
        stepTokens = stepTokens,
        cacheTokens = cacheTokens,
        models = models.split(','),
        modelLoadMillis = modelLoadMillis,
        checksFencing = checksFencing,
        loadLagMillis = loadLagMillis,
        cacheEventLagMillis = cacheEventLagMillis,
        cacheEventGap = cacheEventGap,
        retentionMillis = retentionMillis,
    )

    private fun intOption(name: String, text: String, default: Int) =
        option(ArgType.Int, name, description = text).default(default)

    private fun longOption(name: String, text: String, default: Long) =
        option(LongArgument, name, description = text).default(default)

    private fun booleanOption(name: String, text: String, default: Boolean) =
        option(BooleanArgument, name, description = text).default(default)
}

private const val IO_THREADS: Int = 64

/** Returns the id that lies [index] after [first]: `e7` is 6 after `e1`. */
internal fun endpointIdAt(first: String, index: Int): String {
    val digits = first.takeLastWhile { it.isDigit() }
    if (digits.isEmpty()) return if (index == 0) first else "$first$index"
    return first.dropLast(digits.length) + (digits.toLong() + index)
}

private object LongArgument : ArgType<Long>(true) {
    override val description: kotlin.String = "{ Whole number }"

    override fun convert(value: kotlin.String, name: kotlin.String): Long =
        requireNotNull(value.toLongOrNull()) { "option $name is no whole number: $value" }
}

private object BooleanArgument : ArgType<kotlin.Boolean>(true) {
    override val description: kotlin.String = "{ true or false }"

    override fun convert(value: kotlin.String, name: kotlin.String): kotlin.Boolean =
        requireNotNull(value.toBooleanStrictOrNull()) { "option $name is neither true nor false: $value" }
}
