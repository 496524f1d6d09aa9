/** Conversion of the load reports of endpoints to the reports that accounts evaluate. */
package pistachiopass.entry.placement

import pistachiopass.capacity.EndpointReport
import pistachiopass.capacity.HeldRequest
import pistachiopass.entry.endpoint.LoadReport

/** Converts a report that was requested at [requestedAtMillis] by the clock of this instance. */
internal fun LoadReport.toEndpointReport(requestedAtMillis: Long): EndpointReport = EndpointReport(
    startId = startId,
    cold = cold,
    usedTokens = usedTokens,
    completedTokens = completedTokens,
    requests = requests.map { HeldRequest(it.id, it.tokens, isRunning = it.state != KEPT_STATE) },
    takenAtMillis = requestedAtMillis - ageMillis,
)

private const val KEPT_STATE: String = "kept"
