/** Where the commands write, and the exit codes they end with. */
package pistachiopass.ctl

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import java.io.PrintStream

/** Exit code of a command that found nothing wrong. */
public const val EXIT_OK: Int = 0

/** Exit code of a command that found a problem, or could not reach an instance. */
public const val EXIT_PROBLEMS: Int = 1

/** Exit code of a command line that cannot be understood, or that names a file that cannot be read. */
public const val EXIT_USAGE: Int = 2

/** Holds the two streams to which commands write. */
public class Console(private val output: PrintStream, private val errors: PrintStream) {
    /** Writes [line] to the output. */
    public fun print(line: String): Unit = output.println(line)

    /** Writes [line] to the errors. */
    public fun printError(line: String): Unit = errors.println(line)

    /** Writes [value] as JSON to the output. */
    internal fun <T> printJson(
        serializer: KSerializer<T>,
        value: T,
    ): Unit = print(prettyJson.encodeToString(serializer, value))
}

private val prettyJson =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }
