/**
 * Documents in the form in which instances send them to each other: compressed JSON text.
 *
 * At most [DOCUMENT_BYTES_MAX] bytes are decompressed, so that no peer can exhaust the memory.
 */
package pistachiopass.tables.relay

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import pistachiopass.model.InstanceList
import pistachiopass.model.PoolsTable
import pistachiopass.model.RoutesTable
import pistachiopass.model.TableVersion
import pistachiopass.tables.DOCUMENT_BYTES_MAX
import pistachiopass.tables.DocumentName
import pistachiopass.tables.TablesState
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.EnumMap
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Returns the JSON value in [body], or null when it is malformed or too large. */
internal fun decompressedOrNull(body: ByteArray): JsonElement? =
    try {
        val bytes = InflaterInputStream(ByteArrayInputStream(body)).use { it.readNBytes(DOCUMENT_BYTES_MAX + 1) }
        if (bytes.size > DOCUMENT_BYTES_MAX) null else Json.parseToJsonElement(bytes.decodeToString())
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

/** Returns [text] in compressed form. */
internal fun compressedBodyOf(text: String): ByteArray {
    val bytes = ByteArrayOutputStream()
    DeflaterOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
    return bytes.toByteArray()
}

/** Caches the body of the version in force of each document, so that it is compressed once for all peers. */
internal class BodyCache {
    private val bodies: MutableMap<DocumentName, Pair<TableVersion, ByteArray>> = EnumMap(DocumentName::class.java)

    /** Returns the body of [document] in [state], or null when none is in force. */
    fun bodyOrNull(document: DocumentName, state: TablesState): ByteArray? {
        val version = state.versionOf(document)
        val cached = bodies[document]?.takeIf { it.first == version }
        return cached?.second ?: textOrNull(document, state)?.let { text ->
            compressedBodyOf(text).also { bodies[document] = version to it }
        }
    }

    private fun textOrNull(document: DocumentName, state: TablesState): String? = when (document) {
        DocumentName.ROUTES -> state.routes?.let { Json.encodeToString(RoutesTable.serializer(), it.value) }
        DocumentName.POOLS -> state.pools?.let { Json.encodeToString(PoolsTable.serializer(), it.value) }
        DocumentName.INSTANCES -> state.instances?.let { Json.encodeToString(InstanceList.serializer(), it.value) }
    }
}
