/** Entry point of the operators' binary `pistachioctl`. */
package pistachiopass.ctl

/** Runs the subcommand that the first argument names. */
public fun main(args: Array<String>) {
    println("pistachioctl: ${args.toList()}")
}
