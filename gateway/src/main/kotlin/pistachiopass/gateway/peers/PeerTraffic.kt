/**
 * What an instance sends to others in datagrams: counted by kind, and limited, so that no fault in an exchange fills
 * the links.
 *
 * No correctness depends on the arrival of a datagram, so one above the limit is dropped.
 */
package pistachiopass.gateway.peers

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.monotonicMillis

/**
 * Kinds of messages. Of each, [bytesPerSecond] may be sent for long: more than twice what docs/CAPACITY.md computes for
 * it, and for all kinds together less than two thirds of the slowest links of the deployments.
 */
internal enum class DatagramKind(val bytesPerSecond: Int = 64_000) {
    MEMBERSHIP,
    SUBSCRIPTION,
    STATE(bytesPerSecond = 384_000),
    PLACEMENT(bytesPerSecond = 384_000),
    USAGE,
    QUARANTINE,
    ESTIMATE,
}

internal val PeerMessage.kind: DatagramKind
    get() = when (this) {
        is MembershipDocument -> DatagramKind.MEMBERSHIP
        is SubscribeRequest -> DatagramKind.SUBSCRIPTION
        is SubscriptionUpdate -> DatagramKind.STATE
        is PlacedWorkUpdate -> DatagramKind.PLACEMENT
        is PlacedUsageUpdate -> DatagramKind.USAGE
        is QuarantineDocument -> DatagramKind.QUARANTINE
        is EstimateDocument -> DatagramKind.ESTIMATE
    }

/** What was sent and dropped of one kind since the start; bytes with the headers of UDP and IP. */
internal class KindTraffic {
    var messages = 0L
        internal set
    var bytes = 0L
        internal set
    var dropped = 0L
        internal set
}

/** Counts and limits what is sent. Confined to the event loop. */
internal class PeerTraffic(
    private val nowMillis: () -> Long = ::monotonicMillis,
    private val log: EventLog = EventLog,
) {
    private class Budget(val kind: DatagramKind, var atMillis: Long) {
        val traffic = KindTraffic()
        var bytesLeft = kind.bytesPerSecond * BURST_SECONDS
        var loggedDropped = 0L
    }

    private val budgets = DatagramKind.entries.associateWith { Budget(it, nowMillis()) }

    /** Returns what was sent of [kind]. */
    fun of(kind: DatagramKind): KindTraffic = budgets.getValue(kind).traffic

    /** Returns whether a datagram of [kind] with [payloadBytes] may be sent now, and counts it. */
    fun admit(kind: DatagramKind, payloadBytes: Int): Boolean {
        val budget = budgets.getValue(kind)
        budget.refill()
        val bytes = payloadBytes + HEADER_BYTES
        val isAdmitted = budget.bytesLeft >= bytes
        if (isAdmitted) {
            budget.bytesLeft -= bytes
            budget.traffic.messages++
            budget.traffic.bytes += bytes
        } else {
            budget.traffic.dropped++
        }
        return isAdmitted
    }

    /** Logs how many datagrams of each kind were dropped since the last call, if any. */
    fun logDropped(): Unit = budgets.values.forEach { budget ->
        val count = budget.traffic.dropped - budget.loggedDropped
        if (count > 0) log.log(Event.PEER_LIMITED, tokenField("kind", budget.kind.label), field("count", count))
        budget.loggedDropped = budget.traffic.dropped
    }

    private fun Budget.refill() {
        val now = nowMillis()
        val earned = (now - atMillis) * kind.bytesPerSecond / MILLIS_PER_SECOND
        bytesLeft = minOf(bytesLeft + earned, kind.bytesPerSecond * BURST_SECONDS)
        atMillis = now
    }
}

/** Name of a kind in logs and metrics. */
internal val DatagramKind.label: String get() = name.lowercase()

/** Seconds of the limit that may be sent at once, as when many instances start. */
private const val BURST_SECONDS: Long = 4
private const val MILLIS_PER_SECOND: Long = 1_000

/** UDP and IPv4. */
private const val HEADER_BYTES: Int = 28
