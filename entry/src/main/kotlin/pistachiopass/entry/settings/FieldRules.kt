/** Rules for the values of single settings. */
package pistachiopass.entry.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import java.util.Base64

/** Checks the values of a field and describes the accepted ones in error messages and in the JSON schema. */
internal sealed interface FieldRule {
    /** Accepted values, as text that follows "expected" in an error message. */
    val expected: String

    /** JSON schema of the accepted values. */
    val schema: JsonObject

    fun accepts(value: JsonPrimitive): Boolean

    /** Returns whether [value], which need not be a primitive, is accepted. */
    fun acceptsElement(value: JsonElement): Boolean = value is JsonPrimitive && accepts(value)
}

/** Accepts integers within [range]. */
internal class RangeRule(private val range: LongRange, unit: String) : FieldRule {
    override val expected: String = "an integer from ${range.first} to ${range.last} $unit"

    override val schema: JsonObject =
        buildJsonObject {
            put("type", "integer")
            put("minimum", range.first)
            put("maximum", range.last)
        }

    override fun accepts(value: JsonPrimitive): Boolean = !value.isString && value.longOrNull.let {
        it != null && it in range
    }
}

/** Accepts names of 1 to 64 letters, digits, `.`, `_` and `-`. */
internal data object NameRule : FieldRule {
    private val pattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

    override val expected: String = "a name of 1 to 64 letters, digits, '.', '_' and '-'"

    override val schema: JsonObject = stringSchema { put("pattern", "^${pattern.pattern}$") }

    override fun accepts(value: JsonPrimitive): Boolean = value.isString && value.content matches pattern
}

/** Accepts one of [choices]. */
internal class ChoiceRule(private val choices: List<String>) : FieldRule {
    override val expected: String = "one of ${choices.joinToString()}"

    override val schema: JsonObject =
        buildJsonObject {
            put("type", "string")
            put("enum", JsonArray(choices.map(::JsonPrimitive)))
        }

    override fun accepts(value: JsonPrimitive): Boolean = value.isString && value.content in choices
}

/** Accepts host and port; the port is at least [portMin], and 0 lets the system choose one. */
internal class AddressRule(private val portMin: Int) : FieldRule {
    private val pattern = Regex("(?:[A-Za-z0-9._-]+|\\[[0-9A-Fa-f:.]+\\]):([0-9]{1,5})")

    override val expected: String = "host:port with a port from $portMin to $PORT_MAX"

    override val schema: JsonObject = stringSchema { put("pattern", "^${pattern.pattern}$") }

    override fun accepts(value: JsonPrimitive): Boolean {
        val port = pattern.matchEntire(value.content)?.groupValues?.last()?.toInt()
        return value.isString && port != null && port in portMin..PORT_MAX
    }
}

/** Accepts a peer as its instance id and address, `i1@10.0.0.1:7001`. */
internal data object BootstrapPeerRule : FieldRule {
    private val address = AddressRule(portMin = 1)

    override val expected: String = "instance@host:port with a port from 1 to $PORT_MAX"

    override val schema: JsonObject = stringSchema { put("pattern", "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}@.+:[0-9]{1,5}$") }

    override fun accepts(value: JsonPrimitive): Boolean =
        value.isString &&
            NameRule.accepts(JsonPrimitive(value.content.substringBefore('@'))) &&
            address.accepts(JsonPrimitive(value.content.substringAfter('@', missingDelimiterValue = "")))
}

/** Accepts arrays of at most [sizeMax] values that [rule] accepts. */
internal class ListRule(private val rule: FieldRule, private val sizeMax: Int) : FieldRule {
    override val expected: String = "an array of at most $sizeMax values, each ${rule.expected}"

    override val schema: JsonObject =
        buildJsonObject {
            put("type", "array")
            put("items", rule.schema)
            put("maxItems", sizeMax)
        }

    override fun accepts(value: JsonPrimitive): Boolean = false

    override fun acceptsElement(value: JsonElement): Boolean =
        value is JsonArray && value.size <= sizeMax && value.all(rule::acceptsElement)
}

/** Accepts keys of at least 32 bytes in base64. */
internal data object KeyRule : FieldRule {
    private const val BYTES_MIN: Int = 32
    private const val BASE64_LENGTH_MIN: Int = 43

    override val expected: String = "base64 of at least $BYTES_MIN bytes"

    override val schema: JsonObject =
        stringSchema {
            put("contentEncoding", "base64")
            put("minLength", BASE64_LENGTH_MIN)
        }

    override fun accepts(value: JsonPrimitive): Boolean =
        value.isString && decodedSize(value.content).let { it != null && it >= BYTES_MIN }

    private fun decodedSize(text: String): Int? = runCatching { Base64.getDecoder().decode(text).size }.getOrNull()
}

/** Accepts names of files; whether a file is readable shows only when it is read. */
internal data object FileRule : FieldRule {
    override val expected: String = "the name of a file"

    override val schema: JsonObject = stringSchema { put("pattern", "\\S") }

    override fun accepts(value: JsonPrimitive): Boolean = value.isString && value.content.isNotBlank()
}

private const val PORT_MAX: Int = 65_535

private fun stringSchema(rest: JsonObjectBuilder.() -> Unit): JsonObject =
    buildJsonObject {
        put("type", "string")
        rest()
    }
