/** Creation of the bookings of an instance from its settings. */
package pistachiopass.entry.booking

import kotlinx.coroutines.CoroutineScope
import pistachiopass.booking.BookingConfig
import pistachiopass.booking.BookingSender
import pistachiopass.booking.Bookings
import pistachiopass.booking.LedgerLimits
import pistachiopass.booking.bookingsOf
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.settings.LedgerSettings
import pistachiopass.entry.settings.Settings
import pistachiopass.model.Instance
import pistachiopass.peer.PeerTransport
import java.util.Base64

/** Returns the bookings of this instance, which are sent through [sender] and find peers in [instances]. */
public fun instanceBookingsOf(
    settings: Settings,
    transport: PeerTransport,
    sender: BookingSender,
    instances: () -> List<Instance>,
    scope: CoroutineScope,
): Bookings = bookingsOf(
    BookingConfig(
        sharedKey = Base64.getDecoder().decode(settings.sharedKey),
        transport = transport,
        sender = sender,
        instances = instances,
        limits = settings.ledger.toLimits(),
    ),
    scope,
    LoggedBookingEvents(EventLog),
)

private fun LedgerSettings.toLimits(): LedgerLimits = LedgerLimits(keys, heldBytes, recordBytes, keyMillis)
