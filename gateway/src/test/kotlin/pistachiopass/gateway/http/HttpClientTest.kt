/** Tests that calls to the store, to peers and to engines get whole responses of their own, and none without end. */
package pistachiopass.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.state.ageClockOf
import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.io.path.readText
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HttpClientTest {
    // Guards against an engine or a store whose endless body fills the memory of the instance.
    @TestFactory
    fun `a body without end is given up at the limit`(): List<DynamicTest> = casesOf(
        listOf(
            "Transfer-Encoding: chunked\r\n\r\n" to "4000\r\n${"x".repeat(CHUNK_BYTES)}\r\n",
            "Content-Length: 9000000000\r\n\r\n" to "x".repeat(CHUNK_BYTES),
            "\r\n" to "x".repeat(CHUNK_BYTES),
        ),
    ) { (headers, flood) ->
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val loop = group.next()
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val sentBytes = thread(isDaemon = true) { flood(server, headers, flood.encodeToByteArray()) }
            val client = HttpClient(UpstreamPool(loop, ageClockOf()), LIMIT_BYTES)
            val beginNanos = System.nanoTime()
            val response = runBlocking(loop.asCoroutineDispatcher()) {
                client.getOrNull(Address("127.0.0.1", server.localPort), "/", TIMEOUT_MILLIS)
            }
            val tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos)
            assertNull(response)
            assertTrue(tookMillis < TIMEOUT_MILLIS / 2, "given up after $tookMillis ms")
            sentBytes.join(TIMEOUT_MILLIS)
            assertTrue(!sentBytes.isAlive, "the connection is closed")
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly()
    }

    // Guards against a state or an outcome of an order that is read from bytes which are no response.
    @TestFactory
    fun `only a well-formed response is returned`(): List<DynamicTest> = casesOf(tabledResponses()) { response ->
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val loop = group.next()
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    val input = socket.getInputStream().bufferedReader()
                    input.awaitRequest()
                    socket.getOutputStream().write(response.bytes())
                    input.read()
                }
            }
            val received = runBlocking(loop.asCoroutineDispatcher()) {
                val address = Address("127.0.0.1", server.localPort)
                HttpClient(UpstreamPool(loop, ageClockOf())).postOrNull(address, "/", "{}", TIMEOUT_MILLIS)
            }
            assertEquals(if (response.isWhole) "done" else null, received?.body?.decodeToString())
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly()
    }

    // Guards against an order whose outcome is that of an earlier one, as responses to orders name no request.
    @TestFactory
    fun `a second response to an order is not the response to the next one`(): List<DynamicTest> = casesOf(
        listOf(SECOND, SECOND.substringBefore("\r\n\r\n"), SECOND.dropLast(1)),
    ) { second ->
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val loop = group.next()
        ServerSocket(0, 2, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) { respondTwice(server, second) }
            val client = orderClientOf(loop, ageClockOf())
            val statuses = runBlocking(loop.asCoroutineDispatcher()) {
                val address = Address("127.0.0.1", server.localPort)
                List(2) { client.postOrNull(address, "/", "{}", TIMEOUT_MILLIS)?.status }
            }
            assertEquals(listOf(200, 409), statuses)
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly()
    }

    /** Responds to the first request with 200 and to the next with 409, after [second] on the same connection. */
    private fun respondTwice(server: ServerSocket, second: String) {
        var isFirst = true
        while (!server.isClosed) {
            val socket = try {
                server.accept()
            } catch (_: IOException) {
                return
            }
            val opensFirst = isFirst
            thread(isDaemon = true) {
                val input = socket.getInputStream().bufferedReader()
                while (input.awaitRequest()) {
                    val response = if (isFirst) SECOND else FINAL
                    val precedes = if (opensFirst && !isFirst) second else ""
                    isFirst = false
                    socket.getOutputStream().write((precedes + response).encodeToByteArray())
                }
            }
        }
    }

    private fun BufferedReader.awaitRequest(): Boolean {
        val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.count()
        return lines > 0 && read() >= 0 && read() >= 0
    }

    private fun flood(server: ServerSocket, headers: String, bytes: ByteArray) {
        try {
            server.accept().use { socket ->
                val output = socket.getOutputStream()
                output.write("HTTP/1.1 200 OK\r\n$headers".encodeToByteArray())
                while (true) output.write(bytes)
            }
        } catch (_: IOException) {
            // The client closes the connection.
        }
    }
}

/** A response with the body "done" of the table that the tests of all modules share. */
@Serializable
private data class TabledResponse(
    val group: String,
    val name: String,
    val isWhole: Boolean,
    val statusLine: String,
    val fields: String,
    val body: String,
) {
    fun bytes(): ByteArray = "$statusLine\r\n$fields$body".encodeToByteArray()

    override fun toString(): String = "$group, $name, whole: $isWhole"
}

private fun tabledResponses(): List<TabledResponse> = Json.decodeFromString(
    Path.of(System.getProperty("workspace.root"), "coordination/src/test/resources/responses.json").readText(),
)

private const val SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
private const val FINAL = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"
private const val LIMIT_BYTES = 256 * 1024
private const val CHUNK_BYTES = 16 * 1024
private const val TIMEOUT_MILLIS = 4_000L
