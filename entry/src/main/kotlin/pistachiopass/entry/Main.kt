/** Entry point of the daemon `pistachiopass`. */
package pistachiopass.entry

import com.github.michaelbull.result.mapBoth
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import pistachiopass.entry.settings.Settings
import pistachiopass.entry.settings.SettingsError
import pistachiopass.entry.settings.formatSettingsErrors
import pistachiopass.entry.settings.readSettings
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

/** Runs the daemon with the settings file that [args] name, and stops it gracefully on SIGTERM. */
public fun main(args: Array<String>) {
    if ("--version" in args) {
        println("pistachiopass $VERSION")
        return
    }
    val parser = ArgParser("pistachiopass")
    val settingsFile by parser
        .option(ArgType.String, "settings", description = "JSON settings file, described in docs/SETTINGS.md")
        .required()
    parser.parse(args)
    readSettings(readFileOrExit(settingsFile), settingsFile).mapBoth(::run, ::refuse)
}

private fun run(settings: Settings): Unit = runBlocking {
    System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
    val daemon = Daemon(settings)
    val stopped = CompletableDeferred<Unit>()
    val stop = Thread {
        runBlocking { daemon.stop() }
        stopped.complete(Unit)
    }
    Runtime.getRuntime().addShutdownHook(stop)
    daemon.start()
    stopped.await()
}

private fun readFileOrExit(file: String): String =
    try {
        File(file).readText()
    } catch (exception: IOException) {
        System.err.println("--settings $file: cannot be read: ${exception.message}")
        exitProcess(EXIT_BAD_SETTINGS)
    }

private fun refuse(errors: List<SettingsError>) {
    System.err.println(formatSettingsErrors(errors))
    exitProcess(EXIT_BAD_SETTINGS)
}

/** Version of the project. */
public const val VERSION: String = "0.1.0"

/** Property of Ktor's own shutdown hook, which would stop the servers on SIGTERM, during the daemon's graceful stop. */
private const val KTOR_SHUTDOWN_HOOK: String = "io.ktor.server.engine.ShutdownHook"
private const val EXIT_BAD_SETTINGS: Int = 2
