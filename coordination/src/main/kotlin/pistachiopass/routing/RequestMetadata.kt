/** The properties of a request that routing and placement use; they never include prompt text. */
package pistachiopass.routing

import pistachiopass.model.EndpointId
import pistachiopass.model.ModelName
import pistachiopass.model.Route
import pistachiopass.model.RouteMatch
import pistachiopass.model.RoutesTable
import pistachiopass.model.WorkspaceId

/** The properties of a request on which its route and its endpoint depend. */
public data class RequestMetadata(
    val path: String,
    val workspace: WorkspaceId,
    val model: ModelName? = null,
    val promptTokens: Long = 0,
    val answerTokens: Long = 0,
    /** Digest of the first blocks of the prompt; requests with the same digest benefit from the same prefix cache. */
    val prefixDigest: String = "",
    /** Whether the response is requested as an event stream. */
    val streamed: Boolean = false,
    /** Endpoints at which an earlier attempt of this request has failed. */
    val failedEndpoints: Set<EndpointId> = emptySet(),
) {
    /** KV cache memory, in tokens, that the request may come to hold. */
    val tokens: Long get() = promptTokens + answerTokens
}

/** Returns the first route that matches, or null if none does. */
public fun RoutesTable.routeOrNull(metadata: RequestMetadata): Route? =
    routes.firstOrNull { it.match.matches(metadata) }

/** Returns whether this condition holds for a request. */
public fun RouteMatch.matches(metadata: RequestMetadata): Boolean =
    metadata.path.startsWith(pathPrefix) &&
        (model == null || model == metadata.model) &&
        (workspace == null || workspace == metadata.workspace)
