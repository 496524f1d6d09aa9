/** What routing and placement know of a request; prompt text is never part of it. */
package pistachiopass.routing

import pistachiopass.model.EndpointId
import pistachiopass.model.ModelName
import pistachiopass.model.Route
import pistachiopass.model.RouteMatch
import pistachiopass.model.RoutesTable
import pistachiopass.model.WorkspaceId

/** Describes a request as far as routing and placement depend on it. */
public data class RequestFacts(
    val path: String,
    val workspace: WorkspaceId,
    val model: ModelName? = null,
    val promptTokens: Long = 0,
    val answerTokens: Long = 0,
    /** Digest of the first blocks of the prompt; requests that share it profit from the same prefix cache. */
    val prefixDigest: String = "",
    /** Whether the answer is asked for as a stream of events. */
    val streamed: Boolean = false,
    /** Endpoints at which an attempt of this request has failed. */
    val failedEndpoints: Set<EndpointId> = emptySet(),
) {
    /** Tokens of KV memory that the request may come to hold. */
    val tokens: Long get() = promptTokens + answerTokens
}

/** Returns the first route that matches, or null. */
public fun RoutesTable.routeOrNull(facts: RequestFacts): Route? = routes.firstOrNull { it.match.matches(facts) }

/** Tells whether a request falls under this description. */
public fun RouteMatch.matches(facts: RequestFacts): Boolean =
    facts.path.startsWith(pathPrefix) &&
        (model == null || model == facts.model) &&
        (workspace == null || workspace == facts.workspace)
