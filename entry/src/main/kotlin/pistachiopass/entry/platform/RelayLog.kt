/** Log lines of the relay, which passes published documents on between instances. */
package pistachiopass.entry.platform

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventField
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.model.InstanceId
import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import pistachiopass.tables.OfferOutcome
import pistachiopass.tables.relay.RelayObserver

/** Logs the events of the relay to [log]. */
public class RelayLog(private val log: EventLog = EventLog) : RelayObserver {
    override fun onOffered(document: DocumentName, version: TableVersion, peer: InstanceId?, outcome: OfferOutcome) {
        val name = documentField(document)
        val offered = field("version", version)
        val source = sourceField(peer)
        when (outcome) {
            is OfferOutcome.Accepted -> log.log(Event.TABLE_ACCEPTED, name, offered, source)
            is OfferOutcome.Refused ->
                log.log(Event.TABLE_REFUSED, name, offered, source, field("problems", outcome.problems.size))
            is OfferOutcome.Older ->
                log.log(Event.TABLE_VERSION_IGNORED, name, offered, source, field("inForce", outcome.inForce))
            OfferOutcome.RefusedBefore, OfferOutcome.Unchanged -> Unit
        }
    }

    override fun onStarted(answers: Int): Unit =
        if (answers == 0) log.log(Event.STARTED_ALONE) else log.log(Event.STARTED_BY_PEERS, field("answers", answers))

    override fun onPlatformReachability(document: DocumentName, isReachable: Boolean): Unit =
        log.log(if (isReachable) Event.PLATFORM_BACK else Event.PLATFORM_UNREACHABLE, documentField(document))
}

private fun documentField(document: DocumentName): EventField = tokenField("document", document.text)

private fun sourceField(peer: InstanceId?): EventField = tokenField("source", peer?.value ?: "platform")
