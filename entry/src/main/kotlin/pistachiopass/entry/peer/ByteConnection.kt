/** The socket operations that the peer protocol needs, independent of whether TLS is used. */
package pistachiopass.entry.peer

import java.io.Closeable

/** A bidirectional byte stream for one reader and one writer at a time; network errors are `IOException`s. */
internal interface ByteConnection : Closeable {
    /** Reads at least one and at most [length] bytes into [target]; returns the count, or -1 at the end. */
    suspend fun read(target: ByteArray, offset: Int, length: Int): Int

    /** Writes all of [bytes]; suspends while the buffers are full because the peer does not read. */
    suspend fun write(bytes: ByteArray)

    /** Closes the connection immediately; a suspended read or write ends. */
    override fun close()
}

internal interface ByteListener : Closeable {
    /** Local port on which connections are accepted. */
    val port: Int

    suspend fun accept(): ByteConnection
}

/** Opens and accepts byte connections. */
internal interface ByteConnections : Closeable {
    suspend fun connect(host: String, port: Int): ByteConnection

    /** Listens on [host]; port 0 selects a free port. */
    suspend fun listen(host: String, port: Int): ByteListener
}
