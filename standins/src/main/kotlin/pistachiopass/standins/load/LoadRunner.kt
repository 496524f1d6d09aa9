/** Runs a scenario: starts each request at its planned time, whatever became of those before it. */
package pistachiopass.standins.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Runs [scenario] with [call], which sends one request, and returns the report once all have ended. */
public suspend fun runLoad(
    scenario: Scenario,
    onProgress: (LoadTestReport) -> Unit = {},
    call: suspend (Arrival, elapsedMillis: () -> Double) -> Outcome,
): LoadTestReport {
    val statistics = LoadStatistics(scenario)
    coroutineScope {
        val progress = launch { reportProgress(statistics, onProgress) }
        coroutineScope { launchArrivals(arrivalsOf(scenario), statistics, call) }
        progress.cancel()
    }
    return statistics.report()
}

private suspend fun CoroutineScope.launchArrivals(
    arrivals: List<Arrival>,
    statistics: LoadStatistics,
    call: suspend (Arrival, elapsedMillis: () -> Double) -> Outcome,
) {
    val start = TimeSource.Monotonic.markNow()
    arrivals.forEach { arrival ->
        val intended = start + arrival.atMillis.milliseconds
        delay(-intended.elapsedNow())
        launch { statistics.add(call(arrival) { intended.elapsedNow().toDouble(DurationUnit.MILLISECONDS) }) }
    }
}

private suspend fun reportProgress(statistics: LoadStatistics, onProgress: (LoadTestReport) -> Unit) {
    while (true) {
        delay(PROGRESS_PERIOD_MILLIS)
        onProgress(statistics.report())
    }
}

private const val PROGRESS_PERIOD_MILLIS: Long = 2_000
