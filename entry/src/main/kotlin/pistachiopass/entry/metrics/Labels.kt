/** Values of metric labels. Each set is fixed, except the route names, which the routes table limits. */
package pistachiopass.entry.metrics

/** How a request ended. */
public enum class RequestOutcome {
    /** Answered in full. */
    ANSWERED,

    /** Refused before it ran. */
    REFUSED,

    /** Failed during or after an attempt. */
    FAILED,

    /** Cancelled by its caller. */
    CANCELLED,
}

/** Range of prompt lengths; [text] is the value of the label. */
public enum class PromptBand(public val text: String, internal val maxTokens: Long) {
    UP_TO_4K("to-4k", maxTokens = 4_000),
    UP_TO_20K("to-20k", maxTokens = 20_000),
    UP_TO_100K("to-100k", maxTokens = 100_000),
    UP_TO_400K("to-400k", maxTokens = 400_000),
    OVER_400K("over-400k", maxTokens = Long.MAX_VALUE),
}

/** Returns the band of a prompt of [promptTokens] tokens. */
public fun promptBandOf(promptTokens: Long): PromptBand = PromptBand.entries.first { promptTokens <= it.maxTokens }

/** Documents that the platform publishes. */
public enum class Table { ROUTES, POOLS, INSTANCES }

/** How a call to the platform ended. */
public enum class PlatformOutcome {
    /** A new version was read. */
    CHANGED,

    /** The watch ended without a new version. */
    UNCHANGED,

    /** The call failed or returned an error. */
    FAILED,
}

/** Direction of a message between instances. */
public enum class Direction { SENT, RECEIVED }

/** Event in the life cycle of a lease. */
public enum class LeaseOutcome { GRANTED, REFUSED, EXPIRED, RETURNED }

/** Event on a connection between instances. */
public enum class PeerEvent {
    /** A connection to a peer was opened. */
    CONNECTED,

    /** A connection of a peer was accepted. */
    ACCEPTED,

    /** A connection to a peer could not be opened. */
    CONNECT_FAILED,

    /** A connection ended, on either side. */
    DISCONNECTED,

    /** A connection was refused before any message. */
    REFUSED,

    /** The handler of a message failed. */
    HANDLER_FAILED,

    /** A response could not be sent, because its connection had ended or the send queue was full. */
    RESPONSE_NOT_SENT,

    /** A message was addressed to another incarnation of this instance or came from an earlier one of the peer. */
    DROPPED_OTHER_LIFE,

    /** A message had no handler. */
    DROPPED_NO_HANDLER,

    /** A message arrived while the handlers were at their limit. */
    DROPPED_OVERLOADED,

    /** A response arrived after its request had timed out or was cancelled. */
    DROPPED_LATE,

    /** A frame arrived that this side of the connection does not expect. */
    DROPPED_UNEXPECTED,
}
