/** One process of the path, which is started, signalled and ended by its id. */
package pistachiopass.proof.harness

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs [command] with its output in [logFile]; [close] kills it. */
public class ManagedProcess internal constructor(
    private val command: List<String>,
    private val logFile: Path,
) : AutoCloseable {
    private var process: Process = launch()

    /** Whether the process runs, frozen or not. */
    public val isAlive: Boolean get() = process.isAlive

    /** Kills the process at once and returns when it has ended. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks the process to stop in order. */
    public fun terminate(): Unit = process.destroy()

    /** Stops the process from running until [resume]. */
    public fun freeze(): Unit = signal("STOP")

    /** Lets a frozen process run on. */
    public fun resume(): Unit = signal("CONT")

    /** Starts the command again if its process has ended. */
    public fun restart() {
        if (!process.isAlive) process = launch()
    }

    /** Waits for the end of the process and returns whether it came within [limitMillis]. */
    public fun awaitEnd(limitMillis: Long): Boolean = process.waitFor(limitMillis, TimeUnit.MILLISECONDS)

    override fun close(): Unit = kill()

    private fun launch(): Process =
        ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
            .start()

    private fun signal(name: String) {
        val code = ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
        check(code == 0) { "kill -$name ${process.pid()} ended with $code" }
    }
}
