/** Polling of the load reports of endpoints. */
package pistachiopass.entry.endpoint

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Result of the last poll of an endpoint and its time; [report] is null if the endpoint returned none. */
public data class ObservedLoad(val report: LoadReport?, val at: ComparableTimeMark)

/** Receives the load reports of endpoints. */
public fun interface LoadListener {
    /** Called with each report, which was requested [requestedMillisAgo] milliseconds ago. */
    public fun onReport(endpoint: EndpointId, report: LoadReport, requestedMillisAgo: Long)
}

/** Polls endpoints for their load at regular intervals; a slow endpoint does not delay the others. */
public class LoadController(
    private val client: EndpointClient,
    private val endpoints: () -> List<Endpoint>,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val listener: LoadListener = LoadListener { _, _, _ -> },
) {
    private val observed: ConcurrentHashMap<EndpointId, ObservedLoad> = ConcurrentHashMap()
    private val pending: MutableSet<EndpointId> = ConcurrentHashMap.newKeySet()

    /** Starts the polling, which ends with [scope]. */
    public fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                val current = endpoints()
                observed.keys.retainAll(current.mapTo(HashSet()) { it.id })
                current.filter { pending.add(it.id) }.forEach { endpoint -> scope.launch { poll(endpoint) } }
                delay(POLL_MILLIS)
            }
        }
    }

    /** Returns the result of the last poll of an endpoint, or null if none has finished. */
    public fun loadOrNull(endpoint: EndpointId): ObservedLoad? = observed[endpoint]

    private suspend fun poll(endpoint: Endpoint) {
        val callStartedAt = timeSource.markNow()
        try {
            val report = client.loadOrNull(endpoint)
            observed[endpoint.id] = ObservedLoad(report, timeSource.markNow())
            if (report != null) listener.onReport(endpoint.id, report, callStartedAt.elapsedNow().inWholeMilliseconds)
        } finally {
            pending -= endpoint.id
        }
    }
}

private const val POLL_MILLIS: Long = 500
