/** The subcommand `plain`, which runs the stand-in for a plain service. */
package pistachiopass.standins.plain

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import pistachiopass.standins.serveUntilStopped

/** Serves as the plain service that its options name until the process ends. */
@OptIn(ExperimentalCli::class)
public class PlainCommand : Subcommand("plain", "Plays a plain service") {
    private val port: Int by option(ArgType.Int, description = "Port, 0 for a free one").default(0)
    private val id: String by option(ArgType.String, description = "Endpoint id").required()

    override fun execute(): Unit = serveUntilStopped { startPlain(port, id) }
}
