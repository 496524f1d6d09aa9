/** Entry point of the operators' binary `pistachioctl`. */
package pistachiopass.ctl

import kotlin.system.exitProcess

/** Runs the subcommand that the first argument names and ends the process with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(runCommandLine(args.toList(), Console(System.out, System.err)))
}
