/** Keeps the load reports of endpoints. */
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

/** Holds the last report of an endpoint and when it came; [report] is null while the endpoint does not answer. */
public data class ObservedLoad(val report: LoadReport?, val at: ComparableTimeMark)

/** Takes in each report, pending for [requestedMillisAgo]. */
public fun interface LoadListener {
    /** Is called after each answer of an endpoint. */
    public fun onReport(endpoint: EndpointId, report: LoadReport, requestedMillisAgo: Long)
}

/** Asks endpoints for their load at regular intervals; one that answers late holds up no other. */
public class LoadController(
    private val client: EndpointClient,
    private val endpoints: () -> List<Endpoint>,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val listener: LoadListener = LoadListener { _, _, _ -> },
) {
    private val observed: ConcurrentHashMap<EndpointId, ObservedLoad> = ConcurrentHashMap()
    private val pending: MutableSet<EndpointId> = ConcurrentHashMap.newKeySet()

    /** Starts the polling; it ends with the scope. */
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

    /** Returns what was last observed of an endpoint, or null when it was never pending. */
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
