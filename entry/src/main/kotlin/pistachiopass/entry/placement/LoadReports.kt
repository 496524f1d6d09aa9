/** Translation of endpoints' load reports into the form in which accounts read them. */
package pistachiopass.entry.placement

import pistachiopass.capacity.EndpointReport
import pistachiopass.capacity.HeldRequest
import pistachiopass.entry.endpoint.LoadReport

/** Returns the report, asked for at the reading [askedAtMillis] of the reader's clock. */
internal fun LoadReport.toEndpointReport(askedAtMillis: Long): EndpointReport = EndpointReport(
    startId = startId,
    cold = cold,
    usedTokens = usedTokens,
    completedTokens = completedTokens,
    requests = requests.map { HeldRequest(it.id, it.tokens, isRunning = it.state != KEPT_STATE) },
    takenAtMillis = askedAtMillis - ageMillis,
)

private const val KEPT_STATE: String = "kept"
