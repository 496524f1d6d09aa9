/** One request of a caller and the response to it, independent of the server library. */
package pistachiopass.entry.http

import io.ktor.http.Headers
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.ByteReadChannel
import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId
import kotlin.time.ComparableTimeMark

/** Request of a caller, whose [body] can be read once, and the [response] to it. */
public class Exchange(
    public val requestId: RequestId,
    public val workspace: WorkspaceId,
    public val head: RequestHead,
    public val arrivedAt: ComparableTimeMark,
    public val body: ByteReadChannel,
    public val response: CallerResponse,
)

/** Method, path, URI and headers of a request. */
public class RequestHead(
    public val method: HttpMethod,
    /** Path without the query. */
    public val path: String,
    /** Path and query as sent. */
    public val uri: String,
    public val headers: Headers,
)

/** Writes the response to the caller. */
public interface CallerResponse {
    /** Whether the status line has been passed to the server; a later failure cannot change it. */
    public val started: Boolean

    /** Sends a complete response. */
    public suspend fun send(status: HttpStatusCode, headers: Headers, body: ByteArray)

    /** Sends a response whose body [write] produces; returns whether the caller accepted all of it. */
    public suspend fun stream(status: HttpStatusCode, headers: Headers, write: suspend (ByteSink) -> Unit): Boolean
}
