/** Log lines of bookings. */
package pistachiopass.entry.booking

import pistachiopass.booking.BookingEvents
import pistachiopass.booking.BookingOutcome
import pistachiopass.booking.BookingRequest
import pistachiopass.booking.Claim
import pistachiopass.booking.Incarnation
import pistachiopass.booking.MoveOutcome
import pistachiopass.booking.verdict
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log

/** Logs each event to [log]. */
internal class LoggedBookingEvents(private val log: EventLog) : BookingEvents {
    override fun recorded(request: BookingRequest, outcome: BookingOutcome): Unit =
        log.log(Event.BOOKING_RECORDED, request.requestId, field("verdict", outcome.verdict))

    override fun replayed(request: BookingRequest): Unit = log.log(Event.BOOKING_REPLAYED, request.requestId)

    override fun refused(request: BookingRequest, reason: Claim.Refused): Unit =
        log.log(Event.BOOKING_CONFLICT, request.requestId, field("reason", reason))

    override fun sealed(keys: Int): Unit = log.log(Event.LEDGER_SEALED, field("keys", keys))

    override fun moved(state: MoveOutcome, successor: Incarnation?) {
        val outcome = field("outcome", state)
        if (successor == null) {
            log.log(Event.LEDGER_MOVED, outcome)
        } else {
            log.log(Event.LEDGER_MOVED, outcome, field("successor", successor.instance))
        }
    }
}
