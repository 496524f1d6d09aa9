/** Applies the quarantine of prompt parts and contents to requests, and records what happens to these. */
package pistachiopass.gateway.forward

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.http.ConnectionFailure
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.PromptPartId
import pistachiopass.model.Verdict
import pistachiopass.quarantine.BrokenAttempt
import pistachiopass.quarantine.PartCheck
import pistachiopass.quarantine.PartQuarantine
import pistachiopass.quarantine.QuarantineListener
import pistachiopass.quarantine.QuarantinedPart
import pistachiopass.quarantine.ReleaseReason
import pistachiopass.quarantine.endpointRunOf
import pistachiopass.quarantine.isContent

/** Admits requests by [quarantine], whose clock is [nowMillis]. Confined to the event loop. */
internal class PartAdmission(
    private val quarantine: PartQuarantine,
    private val nowMillis: () -> Long,
    private val log: EventLog,
) {
    /** Returns why the request is refused on arrival, or null if it is admitted. */
    fun refusalOrNull(metadata: RequestMetadata): Failure? =
        when (val check = quarantine.check(suspectsOf(metadata))) {
            is PartCheck.Allowed -> null
            is PartCheck.Refused -> quarantinedFailure(check.part)
            is PartCheck.Trial -> {
                log.log(Event.PART_TRIED, metadata.id, tokenField("part", check.part.value))
                null
            }
        }

    /** Returns why a request that was admitted earlier must not be sent any more, or null if it may be sent. */
    fun blockedOrNull(metadata: RequestMetadata): Failure? =
        quarantine.blockingOrNull(suspectsOf(metadata))?.let(::quarantinedFailure)

    /** Records that the response to a request broke off; if its connection did as well, [endpoint] may have ended. */
    fun onBroken(metadata: RequestMetadata, endpoint: EndpointIncarnation, response: BrokenResponse) {
        val hasLostConnection =
            response.failure == ConnectionFailure.CLOSED || response.failure == ConnectionFailure.RESET
        if (!hasLostConnection) return
        quarantine.onBroken(
            BrokenAttempt(
                endpointRunOf(endpoint.endpoint, endpoint.bornMillis),
                metadata.content.part,
                metadata.sharedParts,
                nowMillis() - response.sentMillis,
                response.hasHead,
                response.decodeMillis,
            ),
        )
    }

    /** Records that an endpoint has survived a request. */
    fun onAnswered(metadata: RequestMetadata): Unit = quarantine.onAnswered(suspectsOf(metadata))

    /** The content is left out while nothing is held against any, since its digest costs processor time. */
    private fun suspectsOf(metadata: RequestMetadata): List<PromptPartId> =
        if (quarantine.hasContents) metadata.sharedParts + metadata.content.part else metadata.sharedParts
}

/** Writes the beginning and the end of quarantines to [log]. */
internal class QuarantineEvents(private val log: EventLog) : QuarantineListener {
    override fun onQuarantined(part: QuarantinedPart, isLearned: Boolean): Unit = log.log(
        Event.PART_QUARANTINED,
        tokenField("part", part.part.value),
        field("runs", part.runs),
        field("strikes", part.strikes),
        field("isLearned", isLearned),
        field("ageMillis", part.ageMillis),
        field("remainingMillis", part.remainingMillis),
    )

    override fun onReleased(part: PromptPartId, reason: ReleaseReason, ageMillis: Long): Unit = log.log(
        Event.PART_RELEASED,
        tokenField("part", part.value),
        field("reason", reason),
        field("ageMillis", ageMillis),
    )
}

/** Has no time to return after: a retry fails as well until the quarantine ends, which may take many minutes. */
private fun quarantinedFailure(part: PromptPartId): Failure = Failure(
    FailureCode.QUARANTINED,
    Verdict.NOT_RUN,
    if (part.isContent) {
        "requests with this content are quarantined since endpoints ended on them"
    } else {
        "part $part of the prompt is quarantined since endpoints ended on requests that contain it"
    },
    part = part,
)
