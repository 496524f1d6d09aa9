/** A server on raw sockets that ends connections at any byte, and an allocator that takes endpoints in order. */
package pistachiopass.entry.booking

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import pistachiopass.entry.filter.notRun
import pistachiopass.entry.http.Target
import pistachiopass.entry.placement.Allocation
import pistachiopass.entry.placement.CapacityAllocator
import pistachiopass.model.Endpoint
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.RequestId
import pistachiopass.routing.RequestMetadata
import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Describes how the server handles a connection. */
internal class Script(
    val name: String,
    /** Maximum number of request bytes to read; a shorter request is read completely. */
    val readBytes: Int = Int.MAX_VALUE,
    val answer: ByteArray = ByteArray(0),
    val end: End = End.CLOSE,
) {
    override fun toString(): String = name
}

/** What the server does with the connection after the answer. */
internal enum class End { CLOSE, RESET, STALL, KEEP }

/** Handles each connection by the script that [scriptOf] returns for its number; records complete requests. */
internal class RawServer(private val scriptOf: (Int) -> Script) : Closeable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val isClosed = CountDownLatch(1)
    val port: Int = server.localPort
    val connections = AtomicInteger()
    val requests = CopyOnWriteArrayList<String>()

    init {
        thread(isDaemon = true) {
            ignoringErrors {
                while (true) {
                    val socket = server.accept().also { sockets += it }
                    val script = scriptOf(connections.getAndIncrement())
                    thread(isDaemon = true) { ignoringErrors { serve(socket, script) } }
                }
            }
        }
    }

    private fun serve(socket: Socket, script: Script) {
        do {
            val request = readRequest(socket, script.readBytes)
            if (request.endsWith(BODY)) requests += request
            socket.getOutputStream().write(script.answer)
            socket.getOutputStream().flush()
        } while (script.end == End.KEEP && request.isNotEmpty())
        if (script.end == End.STALL) isClosed.await()
        if (script.end == End.RESET) socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Ends all open connections, as a server's idle time-out would. */
    fun endConnections(end: End) {
        if (end == End.KEEP) return
        sockets.forEach { socket ->
            if (end == End.RESET && !socket.isClosed) socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    private fun readRequest(socket: Socket, maxBytes: Int): String {
        val text = StringBuilder()
        while (text.length < maxBytes && !text.endsWith(BODY)) {
            val byte = socket.getInputStream().read()
            if (byte < 0) break
            text.append(byte.toChar())
        }
        return text.toString()
    }

    private fun ignoringErrors(block: () -> Unit) {
        try {
            block()
        } catch (_: IOException) {
            // The client or the test has ended the connection.
        }
    }

    override fun close() {
        isClosed.countDown()
        server.close()
        sockets.forEach(Socket::close)
    }
}

/** Allocates the first endpoint of the pool that has not failed. */
internal object FirstAllocator : CapacityAllocator {
    override suspend fun allocate(
        requestId: RequestId,
        metadata: RequestMetadata,
        target: Target
    ): Result<Allocation, Failure> {
        val first = target.pool.endpoints.firstOrNull {
            it.id !in metadata.failedEndpoints
        } ?: return Err(notRun(FailureCode.NO_ENDPOINT, "no endpoint left"))
        return Ok(
            object : Allocation {
                override val endpoint: Endpoint = first
                override val leaseId: RequestId = requestId

                override fun isValid(): Boolean = true

                override suspend fun release(holdsNothing: Boolean) = Unit
            },
        )
    }
}

/** The body of every request of these tests; its last bytes mark the end of a request. */
internal const val BODY = """{"stage":3,"end":true}"""
private const val BACKLOG = 256
