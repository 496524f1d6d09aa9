/** `pistachioctl check`: checks the documents before they are published. */
package pistachiopass.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.serialization.builtins.ListSerializer
import pistachiopass.tables.Problem
import pistachiopass.tables.hasErrors

/** Prints all problems; warnings alone leave the exit code at zero. */
internal class CheckCommand(console: Console) : Command("check", "Check the tables before publishing them", console) {
    private val routes by option(ArgType.String, "routes", description = "Routes table file").required()
    private val pools by option(ArgType.String, "pools", description = "Pools table file").required()
    private val instances by option(ArgType.String, "instances", description = "Instance list file")

    override fun run(): Int {
        val problems = readTableFiles(routes, pools, instances).problems()
        problems.forEach { console.printError(it.toString()) }
        if (json) {
            console.printJson(ListSerializer(Problem.serializer()), problems)
        } else if (problems.isEmpty()) {
            console.print("no problems found")
        }
        return if (problems.hasErrors()) EXIT_PROBLEMS else EXIT_OK
    }
}
