/** JSON schema of the settings file, published as docs/settings.schema.json. */
package pistachiopass.entry.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Returns the JSON schema of the settings file. */
public fun settingsSchema(): JsonObject =
    JsonObject(
        mapOf(
            "\$schema" to JsonPrimitive("https://json-schema.org/draft/2020-12/schema"),
            "title" to JsonPrimitive("Settings of pistachiopass"),
        ) + schemaOf(settingsGroup),
    )

/** Root of the settings or one of its nested objects. */
internal class SettingsGroup(private val descriptor: SerialDescriptor, val path: String) {
    @OptIn(ExperimentalSerializationApi::class)
    val names: List<String> = descriptor.elementNames.toList()

    val required: List<String> = names.filterNot { descriptor.isElementOptional(indexOf(it)) }

    fun pathOf(name: String): String = if (path.isEmpty()) name else "$path.$name"

    fun fieldOrNull(name: String): SettingsField? = settingsFields.find { it.path == pathOf(name) }

    fun groupOf(name: String): SettingsGroup {
        val child = descriptor.getElementDescriptor(indexOf(name))
        check(child.kind == StructureKind.CLASS) { "${pathOf(name)} has no rule" }
        return SettingsGroup(child, pathOf(name))
    }

    private fun indexOf(name: String): Int = descriptor.getElementIndex(name)
}

internal val settingsGroup: SettingsGroup = SettingsGroup(Settings.serializer().descriptor, path = "")

private fun schemaOf(group: SettingsGroup): JsonObject =
    buildJsonObject {
        put("type", "object")
        put("additionalProperties", false)
        put("required", JsonArray(group.required.map(::JsonPrimitive)))
        put("properties", JsonObject(group.names.associateWith { propertyOf(group, it) }))
    }

private fun propertyOf(group: SettingsGroup, name: String): JsonObject {
    val field = group.fieldOrNull(name) ?: return schemaOf(group.groupOf(name))
    return buildJsonObject {
        put("description", field.meaning)
        field.rule.schema.forEach { (key, value) -> put(key, value) }
        defaultOrNull(field.path)?.let { put("default", it) }
    }
}
