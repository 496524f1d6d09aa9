/** Keeps the load reports of endpoints. */
package pistachiopass.entry.endpoint

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Holds the last report of an endpoint and when it came; [report] is null while the endpoint does not answer. */
public data class ObservedLoad(val report: LoadReport?, val at: ComparableTimeMark)

/** Asks endpoints for their load at regular intervals. */
public class LoadController(
    private val client: EndpointClient,
    private val endpoints: () -> List<Endpoint>,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val observed: ConcurrentHashMap<EndpointId, ObservedLoad> = ConcurrentHashMap()

    /** Starts the polling; it ends with the scope. */
    public fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                poll()
                delay(POLL_MILLIS)
            }
        }
    }

    /** Returns what was last observed of an endpoint, or null when it was never asked. */
    public fun loadOrNull(endpoint: EndpointId): ObservedLoad? = observed[endpoint]

    private suspend fun poll(): Unit = coroutineScope {
        val current = endpoints()
        observed.keys.retainAll(current.mapTo(HashSet()) { it.id })
        current.forEach { endpoint ->
            launch { observed[endpoint.id] = ObservedLoad(client.loadOrNull(endpoint), timeSource.markNow()) }
        }
    }
}

private const val POLL_MILLIS: Long = 500
