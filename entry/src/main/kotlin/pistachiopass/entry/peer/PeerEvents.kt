/** Numbered log events and counters of the peer protocol; docs/PEERS.md lists them. */
package pistachiopass.entry.peer

import io.micrometer.core.instrument.MeterRegistry
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger

/** Names an event; [number] is stable, and [tag] is the value of the counter's tag. */
internal enum class PeerEvent(val number: String, val tag: String) {
    STARTED("4001", "started"),
    CONNECTED("4002", "connected"),
    CONNECT_FAILED("4003", "connect-failed"),
    DISCONNECTED("4004", "disconnected"),
    ACCEPTED("4005", "accepted"),
    REFUSED("4006", "refused"),
    HANDLER_FAILED("4007", "handler-failed"),
    DROPPED_EARLIER_LIFE("4008", "dropped-earlier-life"),
    DROPPED_NO_HANDLER("4009", "dropped-no-handler"),
    DROPPED_OVERLOADED("4010", "dropped-overloaded"),
    DROPPED_LATE_RESPONSE("4011", "dropped-late-response"),
    DROPPED_UNEXPECTED("4012", "dropped-unexpected"),
    RESPONSE_NOT_SENT("4013", "response-not-sent"),
}

/** Counts and logs events. */
internal class PeerEvents(private val meters: MeterRegistry) {
    /** Counts [event]. */
    fun count(event: PeerEvent) {
        meters.counter(PEER_EVENTS_METER, "event", event.tag).increment()
    }

    /** Counts [event] and logs it with [details]. */
    fun log(event: PeerEvent, details: String) {
        count(event)
        LOGGER.info("event={} name=peer-{} {}", event.number, event.tag, details)
    }
}

/** Name of the counter; its tag `event` is the event's name. */
public const val PEER_EVENTS_METER: String = "pistachiopass.peer.events"

private val LOGGER: Logger = LogManager.getLogger("pistachiopass.peer")
