/** One request of a caller and the ways to answer it, apart from any network. */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/** A request that was read in full. Either [respond], or [begin] followed by [end] or [abort], is called once. */
public interface CallerExchange {
    public val request: HttpRequest

    /** Body of the request; valid until the exchange is over. */
    public val body: ByteBuf

    /** Steady time at which the head of the request began to arrive. */
    public val arrivedNanos: Long

    /** Is false while the caller reads more slowly than it is written to. */
    public val isWritable: Boolean

    /** Sends a whole answer; takes ownership of [body]. */
    public fun respond(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Begins an answer whose length is not known. */
    public fun begin(status: Int, headers: HttpHeaders)

    /** Sends a part of an answer that was begun, owns [bytes], and waits while the caller reads slowly. */
    public suspend fun write(bytes: ByteBuf)

    /** Ends an answer that was begun, as whole. */
    public fun end()

    /** Breaks an answer off, in a way that the caller sees that it is not whole. */
    public fun abort()
}

/** Answers requests. */
public fun interface CallerHandler {
    /** Answers the request; cancelled when the caller leaves. */
    public suspend fun serve(exchange: CallerExchange)
}
