/** Reads the table of responses with the body "done"; other modules read the same file. */
package pistachiopass.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText

/** A response; [fields] includes the blank line, and [isWhole] tells whether all of it conforms. */
@Serializable
internal data class TabledResponse(
    val group: String,
    val name: String,
    val isWhole: Boolean,
    val statusLine: String,
    val fields: String,
    val body: String,
) {
    val head: String get() = "$statusLine\r\n$fields"

    override fun toString(): String = "$group, $name, whole: $isWhole"
}

internal fun tabledResponses(): List<TabledResponse> = Json.decodeFromString(
    Path.of(System.getProperty("workspace.root"), "coordination/src/test/resources/responses.json").readText(),
)
