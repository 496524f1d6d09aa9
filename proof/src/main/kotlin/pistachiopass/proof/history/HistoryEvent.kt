/**
 * The events of which a history consists.
 *
 * Times are monotonic milliseconds since the recorder started. What is only known by sampling carries the time of the
 * sample before, where an earlier time is in the system's favour.
 */
package pistachiopass.proof.history

import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.TableVersion
import pistachiopass.model.Verdict

/** One observation at [atMillis]. */
public sealed interface HistoryEvent {
    /** Monotonic time of the observation. */
    public val atMillis: Long
}

/** A caller sent a request to an instance. */
public data class RequestSent(
    override val atMillis: Long,
    val request: RequestId,
    val instance: InstanceId,
    /** Time by which the route promises the end. */
    val deadlineMillis: Long,
    /** What joins the request with the records of endpoints, which know it by ids of their own. */
    val content: RequestContent? = null,
) : HistoryEvent

/** The content by which an endpoint's record is joined with a request. */
public sealed interface RequestContent

/** The length of a prompt, which no other request of the run has. */
public data class PromptLength(val tokens: Int) : RequestContent

/** The hash of a booking's body. */
public data class BodyHash(val text: String) : RequestContent

/** A caller received one token of an answer; stream and offset are those in the token's text. */
public data class ChunkReceived(
    override val atMillis: Long,
    val request: RequestId,
    val stream: String,
    val offset: Long,
) : HistoryEvent

/** A caller received an answer up to its end marker. */
public data class RequestAnswered(
    override val atMillis: Long,
    val request: RequestId,
    /** Number of tokens; null for a plain answer. */
    val tokens: Long? = null,
    /** Request that a plain service says it answered; null for an answer of tokens. */
    val answeredRequest: RequestId? = null,
) : HistoryEvent

/** A caller received a failure; [verdict] is null when none was stated. */
public data class RequestRefused(
    override val atMillis: Long,
    val request: RequestId,
    val verdict: Verdict?,
    val code: String = "",
    /** Key under which the caller may send the booking. */
    val freshKey: String? = null,
) : HistoryEvent

/** The connection of a caller ended before the answer did. */
public data class ConnectionBroken(override val atMillis: Long, val request: RequestId) : HistoryEvent

/** An endpoint's own record shows that it ran a request. */
public data class RequestRun(
    override val atMillis: Long,
    val endpoint: EndpointId,
    val request: RequestId,
    /** Identity of a booking, equal for all attempts at it; null for other requests. */
    val booking: String? = null,
    /** Stream in which an engine answered. */
    val stream: String? = null,
    val count: Int = 1,
) : HistoryEvent

/** An endpoint took a request that it had not seen before, between [atMillis] and [sampledMillis]. */
public data class EndpointWork(
    override val atMillis: Long,
    /** End of the sample that first showed the request. */
    val sampledMillis: Long,
    val endpoint: EndpointId,
    val dataCentre: DataCentreId,
    val request: RequestId,
) : HistoryEvent

/** An engine's memory: its limits, its peaks since it started and the requests that it holds. */
public data class MemorySampled(
    override val atMillis: Long,
    val endpoint: EndpointId,
    val limits: MemoryLimits,
    val peakTokens: Long,
    val peakColdTokens: Long = 0,
    val peakColdRequests: Int = 0,
    val heldRequests: Set<RequestId> = emptySet(),
) : HistoryEvent

/** What an engine can hold, warm and cold. */
public data class MemoryLimits(val tokens: Long, val coldTokens: Long, val coldRequests: Int)

/** A lease on an endpoint's capacity is in force, or at its end. */
public data class LeaseHeld(
    override val atMillis: Long,
    val lease: RequestId,
    val endpoint: EndpointId,
    val isEnd: Boolean = false,
) : HistoryEvent

/** The platform shows a new version of a table. */
public data class TablePublished(
    override val atMillis: Long,
    val table: String,
    val version: TableVersion,
) : HistoryEvent

/** An instance that is ready states the version of a table that is in force there. */
public data class TableInForce(
    override val atMillis: Long,
    val instance: InstanceId,
    val startId: StartId,
    val table: String,
    val version: TableVersion,
) : HistoryEvent

/** Operators took a data centre out of service or brought it back. */
public data class DataCentreChanged(
    override val atMillis: Long,
    val dataCentre: DataCentreId,
    val isOut: Boolean,
) : HistoryEvent

/** Operators marked an endpoint as leaving or as active again. */
public data class EndpointChanged(
    override val atMillis: Long,
    val endpoint: EndpointId,
    val isLeaving: Boolean,
) : HistoryEvent

/** A planned stop of an instance began. */
public data class StopBegun(override val atMillis: Long, val instance: InstanceId) : HistoryEvent

/** The process of an instance that was stopped ended. */
public data class StopEnded(override val atMillis: Long, val instance: InstanceId) : HistoryEvent
