/** The subcommand `platform`, which runs the stand-in for the platform. */
package pistachiopass.standins.platform

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import pistachiopass.standins.serveUntilStopped
import java.nio.file.Path
import kotlin.io.path.readText

/** Serves the documents that its options name until the process ends. */
@OptIn(ExperimentalCli::class)
public class PlatformCommand : Subcommand("platform", "Plays the platform") {
    private val port: Int by option(ArgType.Int, description = "Port, 0 for a free one").default(0)
    private val routes: String? by option(ArgType.String, description = "File of the first routes table")
    private val pools: String? by option(ArgType.String, description = "File of the first pools table")
    private val instances: String? by option(ArgType.String, description = "File of the first instance list")

    override fun execute() {
        val store = DocumentStore()
        mapOf("routes" to routes, "pools" to pools, "instances" to instances).forEach { (name, file) ->
            if (file != null) store.put(name, Json.parseToJsonElement(Path.of(file).readText()))
        }
        serveUntilStopped { startPlatform(port, store) }
    }
}
