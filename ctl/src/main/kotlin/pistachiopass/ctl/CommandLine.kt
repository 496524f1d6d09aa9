/**
 * The command line as kotlinx-cli understands it, and what the library cannot do itself.
 *
 * On a mistake the library prints to the standard output and ends the process with code 127; it knows no version and
 * accepts a command line without a subcommand. Its hook for the end of a run is not public, so that it is set by
 * reflection.
 */
@file:OptIn(ExperimentalCli::class)

package pistachiopass.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** Version that `--version` prints. */
public const val VERSION: String = "0.1.0"

/** A subcommand with the option `--json`; [run] returns the exit code. */
internal abstract class Command(
    name: String,
    description: String,
    protected val console: Console,
) : Subcommand(name, description) {
    protected val json: Boolean by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    var exitCode: Int = EXIT_OK
        private set

    abstract fun run(): Int

    override fun execute() {
        exitCode = run()
    }
}

/** Runs the command that [args] name and returns the exit code of the process. */
public fun runCommandLine(
    args: List<String>,
    console: Console,
): Int {
    if ("--version" in args) {
        console.print("$PROGRAM_NAME $VERSION")
        return EXIT_OK
    }
    val commands = listOf(
        CheckCommand(console),
        ExplainCommand(console),
        StatusCommand(console),
        QuarantineCommand(console),
        LossesCommand(console),
    )
    val parser = ArgParser(PROGRAM_NAME)
    parser.option(ArgType.Boolean, "version", description = "Print the version")
    commands.forEach { parser.subcommands(it) }
    (commands + parser).forEach { it.throwAtEnd() }
    return try {
        val subcommand = parser.parse(args.ifEmpty { listOf("--help") }.toTypedArray()).commandName
        val command = commands.firstOrNull { it.name == subcommand }
        command?.exitCode ?: parser.usageError(console)
    } catch (e: CommandLineEnd) {
        when {
            !e.failed && args.isNotEmpty() -> console.print(e.text).let { EXIT_OK }
            else -> console.printError(e.text).let { EXIT_USAGE }
        }
    } catch (e: UnreadableFileException) {
        console.printError(e.message.orEmpty())
        EXIT_USAGE
    }
}

private fun ArgParser.usageError(console: Console): Int {
    console.printError("a subcommand is missing; see $programName --help")
    return EXIT_USAGE
}

/** Ends the parsing of a command line with [text] for the user. */
private class CommandLineEnd(val text: String, val failed: Boolean) : RuntimeException(text)

private fun ArgParser.throwAtEnd() {
    val hook: (String, Int) -> Nothing = { text, code -> throw CommandLineEnd(text, failed = code != 0) }
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, hook)
}

private const val PROGRAM_NAME: String = "pistachioctl"
