/**
 * Reads the routes table, the pools table and the instance list from JSON.
 *
 * Reading checks only the structure: types, required fields and unknown fields. The values are checked by [checkTables]
 * and by a [TableCheck].
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
import pistachiopass.model.withoutByteOrderMark

/** Maximum size of a document on the platform, in bytes of JSON text. */
public const val DOCUMENT_BYTES_MAX: Int = 1_000_000

/**
 * The result of reading a document.
 *
 * [value] is null when the text does not have the structure of the document. It is present when unknown fields are the
 * only problem, so that its values can be checked in the same run; [problems] still prevent it from being accepted.
 */
public data class TableReading<out T>(val value: T?, val problems: List<Problem>) {
    /** Returns the value if it can be accepted, or else all problems. */
    public fun toResult(): Result<T, List<Problem>> =
        if (value == null || problems.hasErrors()) Err(problems) else Ok(value)
}

/** Returns the routes table in [text] and the problems of its structure. */
public fun readRoutesTable(text: String): TableReading<RoutesTable> =
    readText(text, DocumentName.ROUTES, RoutesTable.serializer())

/** Returns the pools table in [text] and the problems of its structure. */
public fun readPoolsTable(text: String): TableReading<PoolsTable> =
    readText(text, DocumentName.POOLS, PoolsTable.serializer())

/** Returns the instance list in [text] and the problems of its structure. */
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
        readElement(Json.parseToJsonElement(text.withoutByteOrderMark()), document, serializer)
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
    val problems = structureProblems(element, serializer.descriptor, Place(document))
    return try {
        TableReading(lenientJson.decodeFromJsonElement(serializer, element), problems)
    } catch (e: SerializationException) {
        val decoding = Place(document).error("a value that cannot be decoded", e.message.orEmpty())
        TableReading(null, problems.ifEmpty { listOf(decoding) })
    }
}

private val lenientJson = Json { ignoreUnknownKeys = true }
