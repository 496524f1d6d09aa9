/**
 * Reading of the three documents from JSON.
 *
 * Reading checks the shape alone: types, required fields and unknown fields. What the values mean is checked by
 * [checkTables] and by a [TableCheck].
 */
package pistachiopass.tables

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import pistachiopass.model.InstanceList
import pistachiopass.model.PoolsTable
import pistachiopass.model.RoutesTable

/** Largest document that the platform holds. */
public const val DOCUMENT_BYTES_MAX: Int = 1_000_000

/**
 * Holds what was read of a document.
 *
 * [value] is null when the text has not the shape of the document. It is present when unknown fields are the only
 * problem, so that the rest can be checked in the same run; [problems] then still keep it from being accepted.
 */
public data class TableReading<out T>(val value: T?, val problems: List<Problem>) {
    /** Returns the value if nothing keeps it from being accepted, else all problems. */
    public fun toResult(): Result<T, List<Problem>> =
        if (value == null || problems.hasErrors()) Err(problems) else Ok(value)
}

/** Returns the routes table in [text] and the problems of its shape. */
public fun readRoutesTable(text: String): TableReading<RoutesTable> =
    readText(text, DocumentName.ROUTES, RoutesTable.serializer())

/** Returns the pools table in [text] and the problems of its shape. */
public fun readPoolsTable(text: String): TableReading<PoolsTable> =
    readText(text, DocumentName.POOLS, PoolsTable.serializer())

/** Returns the instance list in [text] and the problems of its shape. */
public fun readInstanceList(text: String): TableReading<InstanceList> =
    readText(text, DocumentName.INSTANCES, InstanceList.serializer())

private fun <T> readText(
    text: String,
    document: DocumentName,
    serializer: KSerializer<T>,
): TableReading<T> {
    val bytes = text.encodeToByteArray().size
    if (bytes > DOCUMENT_BYTES_MAX) {
        return TableReading(null, listOf(Place(document).error("$bytes bytes", "at most $DOCUMENT_BYTES_MAX bytes")))
    }
    return try {
        readElement(Json.parseToJsonElement(text), document, serializer)
    } catch (e: SerializationException) {
        val cause = e.message.orEmpty().lineSequence().first()
        TableReading(null, listOf(Place(document).error("text that cannot be parsed", "JSON: $cause")))
    }
}

internal fun <T> readElement(
    element: JsonElement,
    document: DocumentName,
    serializer: KSerializer<T>,
): TableReading<T> {
    val problems = shapeProblems(element, serializer.descriptor, Place(document))
    return try {
        TableReading(lenientJson.decodeFromJsonElement(serializer, element), problems)
    } catch (e: SerializationException) {
        val decoding = Place(document).error("a value that cannot be decoded", e.message.orEmpty())
        TableReading(null, problems.ifEmpty { listOf(decoding) })
    }
}

private val lenientJson = Json { ignoreUnknownKeys = true }
