/** Keeps the documents in force up to date by watching the platform. */
package pistachiopass.entry.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import pistachiopass.tables.OfferOutcome
import pistachiopass.tables.TablesInForce
import kotlin.coroutines.coroutineContext
import kotlin.random.Random

/** Watches each document of [platform] and offers what it reads to [tables]. */
public class TablesController(
    private val platform: Platform,
    private val tables: TablesInForce,
    private val nowMillis: () -> Long,
    private val log: EventLog = EventLog,
    private val random: Random = Random.Default,
) {
    /** Starts one watch for each document; they end with the scope. */
    public fun start(scope: CoroutineScope) {
        DocumentName.entries.forEach { document -> scope.launch { watchForever(document) } }
    }

    private suspend fun watchForever(document: DocumentName) {
        var seen = TableVersion.NONE
        var failures = 0
        while (coroutineContext.isActive) {
            val sentAtMillis = nowMillis()
            when (val outcome = platform.watch(document.text, seen, WATCH_MILLIS)) {
                is WatchOutcome.Changed -> {
                    seen = maxOf(seen, outcome.document.version)
                    val offered =
                        tables.offer(document, outcome.document.version, outcome.document.value, nowMillis())
                    logOffer(document, outcome.document.version, offered)
                }
                WatchOutcome.Unchanged -> tables.confirm(document, seen, sentAtMillis)
                is WatchOutcome.Unavailable -> {
                    if (failures == 0) log.log(Event.PLATFORM_UNREACHABLE, tokenField("document", document.text))
                    failures++
                    delay(backoffMillis(failures))
                    continue
                }
            }
            if (failures > 0) log.log(Event.PLATFORM_BACK, tokenField("document", document.text))
            failures = 0
        }
    }

    private fun logOffer(document: DocumentName, version: TableVersion, outcome: OfferOutcome) {
        val name = tokenField("document", document.text)
        val offered = field("version", version)
        when (outcome) {
            is OfferOutcome.Accepted -> log.log(Event.TABLE_ACCEPTED, name, offered)
            is OfferOutcome.Refused ->
                log.log(Event.TABLE_REFUSED, name, offered, field("problems", outcome.problems.size))
            is OfferOutcome.Older ->
                log.log(Event.TABLE_VERSION_IGNORED, name, offered, field("inForce", outcome.inForce))
            OfferOutcome.RefusedBefore, OfferOutcome.Unchanged -> Unit
        }
    }

    private fun backoffMillis(failures: Int): Long {
        val ceilingMillis = (FIRST_BACKOFF_MILLIS shl (failures - 1).coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(
            MAX_BACKOFF_MILLIS
        )
        return random.nextLong(ceilingMillis / 2, ceilingMillis)
    }
}

private const val WATCH_MILLIS: Long = 20_000
private const val FIRST_BACKOFF_MILLIS: Long = 200
private const val MAX_BACKOFF_MILLIS: Long = 5_000
private const val MAX_DOUBLINGS: Int = 10
