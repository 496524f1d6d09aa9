/** Entry point of the stand-ins: one process plays the platform, an engine or a plain service. */
package pistachiopass.standins

/** Starts the stand-in that the first argument names. */
public fun main(args: Array<String>) {
    println("stand-ins: ${args.toList()}")
}
