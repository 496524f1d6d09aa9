/** Compares docs/settings.schema.json and docs/SETTINGS.md with the code. */
package pistachiopass.entry.settings

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import pistachiopass.entry.tableRows
import pistachiopass.entry.workspaceText
import kotlin.test.Test
import kotlin.test.assertEquals

class SettingsDocumentsTest {
    @Test
    fun `the published schema equals the generated one`() {
        val expected = Json { prettyPrint = true }.encodeToString(JsonObject.serializer(), settingsSchema())
        assertEquals(expected, workspaceText("docs/settings.schema.json").trim())
    }

    @Test
    fun `docs SETTINGS lists exactly the fields of the code`() {
        val expected = settingsFields.map {
            val default = defaultOrNull(it.path)?.toString() ?: "required"
            "| `${it.path}` | ${it.rule.expected} | $default | ${it.meaning} |"
        }
        assertEquals(expected.joinToString("\n"), tableRows("docs/SETTINGS.md").joinToString("\n"))
    }

    @Test
    fun `the catalogue has exactly the fields of the settings classes`() {
        assertEquals(settingsFields.map { it.path }, leavesOf(settingsSchema(), path = ""))
    }

    private fun leavesOf(schema: JsonObject, path: String): List<String> =
        schema.getValue("properties").jsonObject.flatMap { (name, property) ->
            val isGroup = property.jsonObject["type"] == JsonPrimitive("object")
            if (isGroup) leavesOf(property.jsonObject, "$path$name.") else listOf(path + name)
        }
}
