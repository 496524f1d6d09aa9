/** Checks of planned stops and of the tables in force. */
package pistachiopass.proof.check

import pistachiopass.model.RequestId
import pistachiopass.model.Verdict
import pistachiopass.proof.history.ConnectionBroken
import pistachiopass.proof.history.History
import pistachiopass.proof.history.RequestRefused
import pistachiopass.proof.history.RequestSent
import pistachiopass.proof.history.StopBegun
import pistachiopass.proof.history.TableInForce
import pistachiopass.proof.history.TablePublished

/** Finds requests that an instance had taken before its planned stop and that the stop cut. */
internal fun findCutRequests(history: History): List<Finding> {
    val cuts = history.cutsByRequest()
    return history.all<StopBegun>().flatMap { stop ->
        history.all<RequestSent>()
            .filter { it.instance == stop.instance && it.atMillis < stop.atMillis }
            .mapNotNull { sent ->
                cuts[sent.request]?.takeIf { it in stop.atMillis until sent.deadlineMillis }?.let {
                    Finding(it, "${sent.request} was cut by the planned stop of ${stop.instance}")
                }
            }
    }
}

/** Returns when each request ended with a broken connection or a failure after which it may have run. */
private fun History.cutsByRequest(): Map<RequestId, Long> = buildMap {
    all<ConnectionBroken>().forEach { put(it.request, it.atMillis) }
    all<RequestRefused>().filter { it.verdict != Verdict.NOT_RUN }.forEach { put(it.request, it.atMillis) }
}

/** Finds instances at which a version came into force too late, and versions that went back. */
internal fun findStaleTables(history: History): List<Finding> {
    val states = history.all<TableInForce>().groupBy { it.instance to it.table }
    return states.values.flatMap { findReverts(it) + findLateVersions(it, history.all()) }
}

private fun findReverts(states: List<TableInForce>): List<Finding> =
    states.zipWithNext().filter { (before, after) -> after.version < before.version }.map { (before, after) ->
        Finding(
            after.atMillis,
            "${after.instance} went back from version ${before.version} to ${after.version} of ${after.table}",
        )
    }

private fun findLateVersions(states: List<TableInForce>, published: List<TablePublished>): List<Finding> =
    states.mapNotNull { state ->
        val due = published.lastOrNull {
            it.table == state.table && it.atMillis + IN_FORCE_MILLIS < state.atMillis
        }
        if (due == null || state.version >= due.version) return@mapNotNull null
        Finding(
            state.atMillis,
            "${state.instance} has version ${state.version} of ${state.table}, and ${due.version} was due",
        )
    }.take(1)

/** Time within which a published version is in force everywhere. */
public const val IN_FORCE_MILLIS: Long = 18_000
