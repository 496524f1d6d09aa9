/** Values of the labels of metrics. Their number is bounded, except that of routes, which the routes table bounds. */
package pistachiopass.entry.metrics

/** Tells how a request ended. */
public enum class RequestOutcome {
    /** Answered in full. */
    ANSWERED,

    /** Refused before it ran. */
    REFUSED,

    /** Failed during or after an attempt. */
    FAILED,

    /** Given up by its caller. */
    CANCELLED,
}

/** Groups prompts by length; [text] is the label's value. */
public enum class PromptBand(public val text: String, internal val maxTokens: Long) {
    UP_TO_4K("to-4k", maxTokens = 4_000),
    UP_TO_20K("to-20k", maxTokens = 20_000),
    UP_TO_100K("to-100k", maxTokens = 100_000),
    UP_TO_400K("to-400k", maxTokens = 400_000),
    OVER_400K("over-400k", maxTokens = Long.MAX_VALUE),
}

/** Returns the band of a prompt of [promptTokens] tokens. */
public fun promptBandOf(promptTokens: Long): PromptBand = PromptBand.entries.first { promptTokens <= it.maxTokens }

/** Names the documents that the platform publishes. */
public enum class Table { ROUTES, POOLS, INSTANCES }

/** Tells how a call to the platform ended. */
public enum class PlatformOutcome {
    /** A new version was read. */
    CHANGED,

    /** The watch ended without a new version. */
    UNCHANGED,

    /** The call failed or was answered with an error. */
    FAILED,
}

/** Tells which way a message between instances went. */
public enum class Direction { SENT, RECEIVED }

/** Tells what was decided on a lease. */
public enum class LeaseOutcome { GRANTED, REFUSED, EXPIRED, RETURNED }

/** Tells what happened on connections between instances. */
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

    /** A handler failed. */
    HANDLER_FAILED,

    /** A response found its connection ended or the queue full. */
    RESPONSE_NOT_SENT,

    /** A message was addressed to another life of this process, or came from an earlier life of the peer. */
    DROPPED_OTHER_LIFE,

    /** A message has no handler. */
    DROPPED_NO_HANDLER,

    /** A message came while the handlers were at their limit. */
    DROPPED_OVERLOADED,

    /** A response came after its caller had given up. */
    DROPPED_LATE,

    /** A frame has no meaning on its side of the connection. */
    DROPPED_UNEXPECTED,
}
