/**
 * Reader of the settings file, which reports all problems at once.
 *
 * The structure and the single values are checked against the catalogue before the text is decoded, so that one error
 * does not hide another. Values that are or may be secret are not reported.
 */
package pistachiopass.entry.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import pistachiopass.entry.logging.HIDDEN
import pistachiopass.model.withoutByteOrderMark

/**
 * One problem of the settings: the field, its position in [source], its value and what was expected.
 *
 * [value] is null if the field is missing or unknown. The position of a syntax error is the one that the JSON library
 * reports, at the error or just after it.
 */
public data class SettingsError(
    val source: String,
    val position: TextPosition,
    val path: String,
    val problem: SettingsProblem,
    val value: String?,
    val expected: String,
)

/** Kind of problem of a field; [text] follows the path of the field in an error message. */
public enum class SettingsProblem(public val text: String) {
    MALFORMED("is not JSON"),
    MISSING("is missing"),
    UNKNOWN("is unknown"),
    REPEATED("is given more than once"),
    INVALID("is"),
}

/** Returns the settings in [text], or all problems found; [source] is the file name in the problems. */
public fun readSettings(text: String, source: String): Result<Settings, List<SettingsError>> {
    val json = text.withoutByteOrderMark()
    val root = try {
        Json.parseToJsonElement(json)
    } catch (e: SerializationException) {
        return Err(listOf(malformed(json, source, e)))
    }
    val errors = SettingsCheck(source, jsonPositionsOf(json)).errorsIn(root)
    return if (errors.isEmpty()) Ok(Json.decodeFromJsonElement(Settings.serializer(), root)) else Err(errors)
}

/** Returns one line for each of [errors], in the format of a compiler. */
public fun formatSettingsErrors(errors: List<SettingsError>): String =
    errors.joinToString("\n") {
        val value = it.value?.let { value -> " $value" }.orEmpty()
        "${it.source}:${it.position}: ${it.path.ifEmpty { "the file" }} " +
            "${it.problem.text}$value; expected ${it.expected}"
    }

private fun malformed(text: String, source: String, exception: SerializationException): SettingsError {
    val offset = OFFSET.find(exception.message.orEmpty())?.groupValues?.get(1)?.toInt() ?: 0
    val position = positionAt(text, offset.coerceIn(0, text.length))
    return SettingsError(source, position, path = "", SettingsProblem.MALFORMED, value = null, "well-formed JSON")
}

private class SettingsCheck(private val source: String, private val positions: JsonPositions) {
    private val errors = ArrayList<SettingsError>()

    fun errorsIn(root: JsonElement): List<SettingsError> {
        checkGroup(settingsGroup, root)
        positions.repeated.forEach { report(it, SettingsProblem.REPEATED, "each field once") }
        if (root is JsonObject) pairRules.forEach { checkPair(it, root) }
        return errors.sortedWith(compareBy({ it.position.line }, { it.position.column }))
    }

    private fun checkGroup(group: SettingsGroup, value: JsonElement) {
        if (value !is JsonObject) {
            report(group.path, SettingsProblem.INVALID, "an object", typeNameOf(value))
            return
        }
        (value.keys - group.names.toSet()).forEach {
            report(group.pathOf(it), SettingsProblem.UNKNOWN, "one of ${group.names.joinToString()}")
        }
        group.names.forEach { checkElement(group, it, value[it]) }
    }

    private fun checkElement(group: SettingsGroup, name: String, value: JsonElement?) {
        val field = group.fieldOrNull(name)
        when {
            value == null -> if (name in group.required) reportMissing(group.pathOf(name), field)
            field != null -> checkField(field, value)
            else -> checkGroup(group.groupOf(name), value)
        }
    }

    private fun checkField(field: SettingsField, value: JsonElement) {
        if (field.rule.acceptsElement(value)) return
        report(field.path, SettingsProblem.INVALID, field.rule.expected, if (field.secret) HIDDEN else textOf(value))
    }

    private fun checkPair(rule: PairRule, root: JsonObject) {
        if (errors.any { it.path == rule.path || it.path == rule.other }) return
        val value = effectiveOrNull(root, rule.path)
        val other = effectiveOrNull(root, rule.other)
        if (value != null && other != null && !rule.accepts(value, other)) {
            report(rule.path, SettingsProblem.INVALID, "${rule.expected}, which is $other", value.toString())
        }
    }

    private fun effectiveOrNull(root: JsonObject, path: String): JsonPrimitive? {
        val given = path.split(
            '.'
        ).fold<String, JsonElement?>(root) { value, name -> (value as? JsonObject)?.get(name) }
        return (given ?: defaultOrNull(path)) as? JsonPrimitive
    }

    private fun reportMissing(path: String, field: SettingsField?) =
        report(path, SettingsProblem.MISSING, field?.rule?.expected ?: "an object")

    private fun report(path: String, problem: SettingsProblem, expected: String, value: String? = null) {
        errors += SettingsError(source, positions.positionOf(path), path, problem, value, expected)
    }
}

private fun typeNameOf(value: JsonElement): String =
    when {
        value is JsonObject -> "an object"
        value is JsonArray -> "an array"
        value is JsonNull -> "null"
        (value as JsonPrimitive).isString -> "a string"
        else -> "a number or word"
    }

private fun textOf(value: JsonElement): String =
    when {
        value !is JsonPrimitive -> typeNameOf(value)
        value.content.length > VALUE_LENGTH_MAX || KeyRule.accepts(value) -> HIDDEN
        else -> value.toString()
    }

private const val VALUE_LENGTH_MAX: Int = 80
private val OFFSET = Regex("at offset (\\d+)")
