/** Entry point of the daemon `pistachiopass`. */
package pistachiopass.entry

/** Starts the daemon with the settings file that the arguments name. */
public fun main(args: Array<String>) {
    println("pistachiopass: ${args.toList()}")
}
