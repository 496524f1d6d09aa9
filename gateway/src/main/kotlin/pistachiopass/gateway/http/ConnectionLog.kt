/** Log of what goes wrong on one connection. */
package pistachiopass.gateway.http

import io.netty.channel.Channel
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.http.SyntaxProblem
import java.io.IOException

/** How bytes were recognized as belonging to no response. */
internal enum class StrayBytes { WHILE_IDLE, AFTER_RESPONSE, NOT_HTTP, TWO_HEADS, BODY_NOT_DUE }

/** Writes what goes wrong on [channel] to [log]. */
internal class ConnectionLog(private val channel: Channel, private val log: EventLog) {
    /** Logs an exception other than the usual ones of a connection that ends. */
    fun unexpected(error: Throwable) {
        if (error !is IOException) log.log(Event.INTERNAL_ERROR, field("error", error))
    }

    /** Logs [bytes] on the connection that has carried [exchanges] so far, with the part that is malformed, if any. */
    fun stray(bytes: StrayBytes, exchanges: Int, problem: SyntaxProblem? = null): Unit = log.log(
        Event.STRAY_BYTES,
        tokenField("address", channel.remoteAddress()?.toString()?.removePrefix("/") ?: "none"),
        field("bytes", bytes),
        field("exchanges", exchanges),
        tokenField("malformed", problem?.name?.lowercase() ?: "none"),
    )
}
