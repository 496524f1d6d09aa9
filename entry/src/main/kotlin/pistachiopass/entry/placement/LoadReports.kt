/** Conversion of the load reports of endpoints to the reports that accounts evaluate. */
package pistachiopass.entry.placement

import pistachiopass.capacity.EndpointReport
import pistachiopass.capacity.HeldRequest
import pistachiopass.entry.endpoint.LoadReport

/** Converts a report that was requested at [askedAtMillis] by the clock of this instance. */
internal fun LoadReport.toEndpointReport(askedAtMillis: Long): EndpointReport = EndpointReport(
    startId = startId,
    cold = cold,
    usedTokens = usedTokens,
    completedTokens = completedTokens,
    requests = requests.map { HeldRequest(it.id, it.tokens, isRunning = it.state != KEPT_STATE) },
    takenAtMillis = askedAtMillis - ageMillis,
)

private const val KEPT_STATE: String = "kept"
