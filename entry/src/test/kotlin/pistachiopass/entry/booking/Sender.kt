/** Sends single bookings to servers on raw sockets. */
package pistachiopass.entry.booking

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import pistachiopass.booking.BookingOutcome
import pistachiopass.booking.BookingRequest
import pistachiopass.booking.verdict
import pistachiopass.entry.endpoint.endpointClientOf
import pistachiopass.entry.settings.LedgerSettings
import pistachiopass.model.RequestId
import pistachiopass.model.TableVersion
import pistachiopass.model.Verdict
import pistachiopass.model.WorkspaceId
import pistachiopass.tables.DocumentName
import pistachiopass.tables.tablesInForceOf
import java.io.Closeable
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sends one booking to a server that follows [script], and checks that it was sent only once. */
internal fun assertSentOnce(script: Script, expected: Verdict): BookingOutcome = RawServer { script }.use { server ->
    val outcome = Sender(server.port).use { it.send("r1") }
    assertEquals(expected, outcome.verdict, "$outcome")
    assertEquals(1, server.connections.get(), "connections")
    assertTrue(server.requests.size <= 1, "requests: ${server.requests.size}")
    outcome
}

/** Returns the offsets in [answer] at which a chunk may begin; empty for an answer without chunks. */
internal fun chunkEndsOf(answer: ByteArray): Set<Int> {
    val text = answer.decodeToString()
    val head = text.indexOf("\r\n\r\n") + HEAD_END_BYTES
    return if (answer === CHUNKED_ANSWER) setOf(head, head + CHUNK_BYTES, head + 2 * CHUNK_BYTES) else emptySet()
}

/** Sends bookings to endpoints at [ports]. */
internal class Sender(vararg ports: Int, answerMillis: Long = 300) : Closeable {
    private val settings = LedgerSettings(answerMillis = answerMillis)
    private val tables = tablesInForceOf().also { tables ->
        val endpoints = ports.withIndex().joinToString { (index, port) ->
            """{"id":"e$index","dataCentre":"dc1","address":"127.0.0.1:$port"}"""
        }
        val pools = """{"pools":[{"name":"desk","kind":"plain","endpoints":[$endpoints]}]}"""
        val routes = """{"routes":[{"name":"p","match":{"pathPrefix":"/pickups"},"pool":"desk","idempotent":false}]}"""
        tables.offer(DocumentName.POOLS, TableVersion(1), Json.parseToJsonElement(pools), 0)
        tables.offer(DocumentName.ROUTES, TableVersion(1), Json.parseToJsonElement(routes), 0)
    }

    private val client = endpointClientOf(readIdleMillis = 60_000)
    private val bookings = EndpointBookingSender(FirstAllocator, client, tables.state::value, settings)

    override fun close() = client.close()

    fun send(id: String): BookingOutcome = runBlocking { withTimeout(60_000) { exchange(id) } }

    suspend fun exchange(id: String): BookingOutcome {
        val request = BookingRequest(
            RequestId(id),
            WorkspaceId("w1"),
            method = "POST",
            uri = "/pickups",
            emptyList(),
            BODY.encodeToByteArray(),
        )
        return bookings.send("key-$id", request)
    }
}

internal val LENGTH_ANSWER: ByteArray =
    "HTTP/1.1 201 Created\r\nX-Truck: 17\r\nContent-Length: 8\r\n\r\n{\"ok\":1}".encodeToByteArray()
internal val CHUNKED_ANSWER: ByteArray =
    "HTTP/1.1 201 Created\r\nX-Truck: 17\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"ok\r\n4\r\n\":1}\r\n0\r\n\r\n"
        .encodeToByteArray()
internal val BUSY_ANSWER: ByteArray =
    "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n".encodeToByteArray()
private const val HEAD_END_BYTES = 4
private const val CHUNK_BYTES = 9
