/** Entry point of the stand-ins: one process plays the platform, an engine or a plain service, or makes load. */
package pistachiopass.standins

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import pistachiopass.standins.engine.EngineCommand
import pistachiopass.standins.load.CompareCommand
import pistachiopass.standins.load.LoadCommand
import pistachiopass.standins.plain.PlainCommand
import pistachiopass.standins.platform.PlatformCommand

/** Runs the subcommand that the first argument names. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("standins")
    subcommands().forEach { parser.subcommands(it) }
    parser.parse(args)
}

/** Returns every subcommand; a new stand-in is added here. */
@OptIn(ExperimentalCli::class)
private fun subcommands(): List<Subcommand> =
    listOf(
        PlatformCommand(),
        PlainCommand(),
        LoadCommand(),
        CompareCommand(),
        EngineCommand(),
    )
