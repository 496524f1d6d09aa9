/**
 * The check of a JSON element against the structure that a serializer expects.
 *
 * It reports every difference, since operators want all of them at once; the decoder of the serialization library stops
 * at the first one.
 */
package pistachiopass.tables

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Returns a problem for every difference between [element] and the structure that [descriptor] describes. */
@OptIn(ExperimentalSerializationApi::class)
internal fun structureProblems(
    element: JsonElement,
    descriptor: SerialDescriptor,
    place: Place,
): List<Problem> =
    when {
        element is JsonNull && descriptor.isNullable -> emptyList()
        descriptor.isInline -> structureProblems(element, descriptor.getElementDescriptor(0), place)
        descriptor.kind == StructureKind.CLASS -> objectProblems(element, descriptor, place)
        descriptor.kind == StructureKind.LIST -> listProblems(element, descriptor, place)
        else -> primitiveProblems(element, descriptor, place)
    }

@OptIn(ExperimentalSerializationApi::class)
private fun objectProblems(
    element: JsonElement,
    descriptor: SerialDescriptor,
    place: Place,
): List<Problem> {
    if (element !is JsonObject) return listOf(place.error(element.excerpt(), "an object"))
    val known = descriptor.elementNames.toList()
    val unknown =
        (element.keys - known.toSet()).map {
            place.field(it)
                .error(element.getValue(it).excerpt(), "no such field; known fields: ${known.joinToString()}")
        }
    val fields =
        known.flatMapIndexed { index, name ->
            val value = element[name]
            when {
                value != null -> structureProblems(value, descriptor.getElementDescriptor(index), place.field(name))
                descriptor.isElementOptional(index) -> emptyList()
                else -> listOf(place.field(name).error(null, "a value; the field is required"))
            }
        }
    return unknown + fields
}

@OptIn(ExperimentalSerializationApi::class)
private fun listProblems(
    element: JsonElement,
    descriptor: SerialDescriptor,
    place: Place,
): List<Problem> {
    if (element !is JsonArray) return listOf(place.error(element.excerpt(), "an array"))
    return element.flatMapIndexed { index, item ->
        structureProblems(item, descriptor.getElementDescriptor(0), place.element(index, item.nameOrNull()))
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun primitiveProblems(
    element: JsonElement,
    descriptor: SerialDescriptor,
    place: Place,
): List<Problem> {
    val fits = element is JsonPrimitive && element !is JsonNull && element.fits(descriptor)
    return if (fits) emptyList() else listOf(place.error(element.excerpt(), descriptor.expectedText()))
}

@OptIn(ExperimentalSerializationApi::class)
private fun SerialDescriptor.expectedText(): String =
    when (kind) {
        SerialKind.ENUM -> "one of ${elementNames.joinToString()}"
        PrimitiveKind.STRING -> "a string"
        PrimitiveKind.BOOLEAN -> "true or false"
        else -> "an integer within the range of the field"
    }

@OptIn(ExperimentalSerializationApi::class)
private fun JsonPrimitive.fits(descriptor: SerialDescriptor): Boolean =
    when (descriptor.kind) {
        SerialKind.ENUM -> isString && content in descriptor.elementNames
        PrimitiveKind.STRING -> isString
        PrimitiveKind.BOOLEAN -> !isString && booleanOrNull != null
        PrimitiveKind.INT -> !isString && intOrNull != null
        else -> !isString && longOrNull != null
    }

private fun JsonElement.nameOrNull(): String? {
    val name = (this as? JsonObject)?.let { it["name"] ?: it["id"] }
    return (name as? JsonPrimitive)?.takeIf { it.isString }?.content
}

private fun JsonElement.excerpt(): String {
    val text = toString()
    return if (text.length <= EXCERPT_CHARS) text else text.take(EXCERPT_CHARS) + "…"
}

private const val EXCERPT_CHARS: Int = 60
