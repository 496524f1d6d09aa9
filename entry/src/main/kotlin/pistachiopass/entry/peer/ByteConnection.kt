/** Byte connections: what the peer protocol needs of a socket, with or without TLS. */
package pistachiopass.entry.peer

import java.io.Closeable

/** Carries bytes both ways; one reader and one writer at a time. Errors of the network are `IOException`s. */
internal interface ByteConnection : Closeable {
    /** Reads at least one and at most [length] bytes into [target]; returns their number, or -1 at the end. */
    suspend fun read(target: ByteArray, offset: Int, length: Int): Int

    /** Hands all of [bytes] on to be sent; suspends while the peer takes none and buffers are full. */
    suspend fun write(bytes: ByteArray)

    /** Drops the connection at once; a suspended read or write ends. */
    override fun close()
}

/** Accepts connections. */
internal interface ByteListener : Closeable {
    /** Port on which connections are accepted. */
    val port: Int

    /** Waits for a connection and returns it. */
    suspend fun accept(): ByteConnection
}

/** Opens and accepts byte connections. */
internal interface ByteConnections : Closeable {
    /** Opens a connection. */
    suspend fun connect(host: String, port: Int): ByteConnection

    /** Accepts connections on [host]; port 0 takes a free one. */
    suspend fun listen(host: String, port: Int): ByteListener
}
