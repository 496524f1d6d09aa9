/** Entry point of the daemon `pistachiopass`. */
package pistachiopass.entry

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import pistachiopass.entry.settings.Settings
import java.io.File

/** Starts the daemon with the settings file that the arguments name, and stops it in order on SIGTERM. */
public fun main(args: Array<String>) {
    val parser = ArgParser("pistachiopass")
    val settingsFile by parser.option(ArgType.String, "settings", description = "JSON file with the settings").required()
    parser.parse(args)
    run(Json.decodeFromString<Settings>(File(settingsFile).readText()))
}

private fun run(settings: Settings): Unit = runBlocking {
    val daemon = Daemon(settings)
    val stopped = CompletableDeferred<Unit>()
    Runtime.getRuntime().addShutdownHook(
        Thread { runBlocking { daemon.stop() }; stopped.complete(Unit) },
    )
    daemon.start()
    stopped.await()
}
