/** Decides whether a request is let in, by the configuration in force, the age of its proof and a stop under way. */
package pistachiopass.gateway.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import pistachiopass.gateway.model.RequestFacts
import pistachiopass.gateway.model.Route
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.model.Service
import pistachiopass.gateway.state.KnownState
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict
import pistachiopass.model.WorkspaceId

/** A request that was let in, and by what. */
public class Admitted(
    public val table: RoutingTable,
    public val route: Route,
    public val service: Service,
    public val workspace: WorkspaceId?,
)

/**
 * Lets requests in.
 *
 * A request with a key is let in only if the configuration was proved current within [keyAgeMaxMillis]. A route or key
 * that is unknown is reported as unknown only while the proof is younger than [unknownAgeMaxMillis]; otherwise a newer
 * configuration may know it, and the caller is told to come back.
 */
public class Admission internal constructor(
    private val knownState: KnownState,
    private val keyAgeMaxMillis: Long,
    private val unknownAgeMaxMillis: Long,
    private val shutdown: GracefulShutdown,
) {
    /** Returns how a request for [host] and [path] is let in, or why it is not. */
    public fun admit(facts: RequestFacts, host: String, path: String): Result<Admitted, Failure> {
        val table = knownState.table
        val route = table?.routeOrNull(host, path)
        return when {
            table == null -> Err(unavailable("no configuration is known yet"))
            route == null -> Err(unknown(FailureCode.NO_ROUTE, "no route matches"))
            else -> shutdown.refusalOrNull(route)?.let { Err(it) } ?: admit(table, route, facts)
        }
    }

    /** Returns why [admitted] must not be sent now, or null. */
    public fun refusalOrNull(admitted: Admitted, key: String?): Failure? =
        when {
            !needsKey(admitted.table, admitted.route) -> null
            !knownState.freshness.isWithin(keyAgeMaxMillis) -> unavailable("keys were not confirmed in time")
            key == null || knownState.table?.workspaceOrNull(key) != admitted.workspace ->
                Failure(FailureCode.NOT_AUTHORIZED, Verdict.NOT_RUN, "the key is no longer valid")
            else -> null
        }

    private fun admit(table: RoutingTable, route: Route, facts: RequestFacts): Result<Admitted, Failure> {
        val workspace = facts.key?.let(table::workspaceOrNull)
        val service = serviceOf(table, route, facts)
        return when {
            service == null -> Err(unavailable("the route's service is unknown"))
            !needsKey(table, route) -> Ok(Admitted(table, route, service, workspace))
            workspace == null -> Err(unknown(FailureCode.NOT_AUTHORIZED, "the key is missing or unknown"))
            !knownState.freshness.isWithin(keyAgeMaxMillis) -> Err(unavailable("keys were not confirmed in time"))
            else -> Ok(Admitted(table, route, service, workspace))
        }
    }

    private fun needsKey(table: RoutingTable, route: Route): Boolean = table.needsKey && !route.isPublic

    private fun serviceOf(table: RoutingTable, route: Route, facts: RequestFacts): Service? {
        val total = route.services.sumOf { it.weight }
        if (total <= 0) return null
        var position = Math.floorMod(facts.id.value.hashCode(), total)
        val share = route.services.first {
            position -= it.weight
            position < 0
        }
        return table.services[share.service]
    }

    private fun unknown(code: FailureCode, message: String): Failure =
        if (knownState.freshness.isWithin(unknownAgeMaxMillis)) {
            Failure(code, Verdict.NOT_RUN, message)
        } else {
            unavailable("$message, and the configuration was not confirmed in time")
        }

    private fun unavailable(message: String): Failure =
        Failure(FailureCode.NO_ENDPOINT, Verdict.NOT_RUN, message, retryAfterMillis = STALE_RETRY_AFTER_MILLIS)
}

/** Returns an admission by [knownState] and [shutdown] for keys whose removal is to bind within [revokeMillis]. */
public fun admissionOf(knownState: KnownState, revokeMillis: Long, shutdown: GracefulShutdown): Admission =
    Admission(knownState, revokeMillis * KEY_AGE_PERCENT / PERCENT, UNKNOWN_AGE_MAX_MILLIS, shutdown)

/** Part of the bound on removed keys that a proof may be old; the rest covers the way from the caller. */
private const val KEY_AGE_PERCENT: Long = 80
private const val PERCENT: Long = 100

/** Age of the proof up to which unknown routes and keys are reported as such; two watches that found nothing. */
private const val UNKNOWN_AGE_MAX_MILLIS: Long = 2_500

/** Time after which a caller is asked to come back while the configuration is not confirmed. */
private const val STALE_RETRY_AFTER_MILLIS: Long = 250
