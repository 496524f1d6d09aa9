/** One request of a caller and the functions that respond to it, independent of the network layer. */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/** A request that was read in full. Either [respond], or [begin] followed by [end] or [abort], is called once. */
public interface CallerExchange {
    public val request: HttpRequest

    /** Body of the request; valid until the response has ended. */
    public val body: ByteBuf

    /** Monotonic time at which the headers of the request arrived. */
    public val arrivedNanos: Long

    /** Is false while too many bytes of the response are buffered because the caller reads slowly. */
    public val isWritable: Boolean

    /** Sends a whole response; takes ownership of [body]. */
    public fun respond(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Starts a response of unknown length. */
    public fun begin(status: Int, headers: HttpHeaders)

    /** Sends a part of a started response and suspends while the caller reads slowly; takes ownership of [bytes]. */
    public suspend fun write(bytes: ByteBuf)

    /** Ends a started response as complete. */
    public fun end()

    /** Closes the connection, so that the caller sees that the response is incomplete. */
    public fun abort()
}

/** Handles requests of callers. */
public fun interface CallerHandler {
    /** Responds to the request; cancelled when the caller disconnects. */
    public suspend fun serve(exchange: CallerExchange)
}
