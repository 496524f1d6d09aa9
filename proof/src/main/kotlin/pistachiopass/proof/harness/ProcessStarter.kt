/** Starting of the processes of a fleet. */
package pistachiopass.proof.harness

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import pistachiopass.model.Endpoint
import pistachiopass.model.Instance
import java.nio.file.Path
import kotlin.io.path.writeText

/** Starts members of [layout] with files and logs in [directory]. */
internal class ProcessStarter(private val layout: FleetLayout, private val directory: Path) {
    private val jars = Jars()
    private val platformAddress: String = "127.0.0.1:${layout.platformPort}"

    fun startPlatform(): ManagedProcess {
        val files = mapOf(
            "routes" to Json.encodeToString(layout.routes),
            "pools" to Json.encodeToString(layout.pools),
            "instances" to Json.encodeToString(layout.instances),
        )
        val options = files.flatMap { (name, text) -> listOf("--$name", write("$name.json", text)) }
        return start("platform", jars.standins + listOf("platform", "--port", "${layout.platformPort}") + options)
    }

    fun startEngine(engine: Endpoint): ManagedProcess =
        start(engine.id.value, jars.standins + listOf("engine", "--port", engine.port) + engineOptions(engine))

    fun startPlain(plain: Endpoint): ManagedProcess =
        start(plain.id.value, jars.standins + listOf("plain", "--port", plain.port, "--id", plain.id.value))

    fun startInstance(instance: Instance): ManagedProcess {
        val settings = buildJsonObject {
            put("instance", instance.id.value)
            put("dataCentre", instance.dataCentre.value)
            put("httpAddress", instance.httpAddress)
            put("peerAddress", instance.peerAddress)
            put("adminAddress", "127.0.0.1:${layout.adminPorts.getValue(instance.id)}")
            put("platformAddress", platformAddress)
            put("sharedKey", SHARED_KEY)
            putJsonObject("limits") { put("readIdleMillis", READ_IDLE_MILLIS) }
        }
        val file = write("${instance.id}.json", settings.toString())
        return start(instance.id.value, jars.entry + listOf("--settings", file))
    }

    private fun start(name: String, command: List<String>): ManagedProcess =
        ManagedProcess(command, directory.resolve("$name.log"))

    private fun write(name: String, text: String): String =
        directory.resolve(name).also { it.writeText(text) }.toString()
}

private const val SHARED_KEY: String = "cHJvb2Yga2V5IG9ubHksIGRvIG5vdCB1c2UgaXQgaW4gc2VydmljZQ=="
private const val READ_IDLE_MILLIS: Long = 2_000
