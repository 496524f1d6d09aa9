/** Evaluates the response to one attempt and forwards it to the caller. */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import pistachiopass.gateway.http.UpstreamConnection
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.ResponseMetadata
import pistachiopass.gateway.monotonicMillis
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.PlacedWork
import pistachiopass.gateway.placement.SpeedSampling
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** An attempt to have [request] answered by [assignment]; [placed] is its entries in the [FleetLoad]. */
internal class EndpointAttempt(
    val request: ForwardedRequest,
    val assignment: Assignment,
    val placed: List<PlacedWork>,
) {
    val incarnation: EndpointIncarnation get() = assignment.endpoint.published.incarnation
}

/** Receives the response to [attempt] on [connection]. */
internal class ResponseHandler(
    private val attempt: EndpointAttempt,
    private val connection: UpstreamConnection,
    private val context: SenderContext,
) {
    private val request = attempt.request
    private val incarnation = attempt.incarnation

    /** Reads the response, and tells it from those to earlier requests on the connection. */
    val reader: ResponseReader = ResponseReader(connection, context.wire, request.metadata.id) {
        context.records.onSkipped(request, incarnation, it, connection.exchanges)
    }
    private val progress = AttemptProgress()
    private val sampling =
        SpeedSampling(context.records.load, request.admitted.service, attempt.assignment, attempt.placed)
    private val isContinuation = request.response.hasBegun
    private var isPrefillEnded = false

    /** Handles the response and returns the outcome of the attempt. */
    suspend fun run(): AttemptOutcome {
        val silence = silenceLimitOf(attempt, progress, context.records.load)
        val remainingMillis = silence::remainingMillis.takeIf { request.mayRunAgain }
        val head = reader.headOrNull(remainingMillis) ?: return incompleteOutcome()
        context.records.load.recordResponse(incarnation)
        progress.hasHead = true
        request.response.source = ResponseSource(incarnation.endpoint, connection.exchanges)
        head.metadata.load?.let { context.records.load.recordReportedLoad(incarnation, it) }
        return when {
            head.isRefusal -> refusedOutcome(head.metadata)
            head.contradictsItself || head.metadata.isReencoded || (head.isSuccess && !head.metadata.isStamped) ->
                incompleteOutcome()
            head.isUnconfirmedRefusal -> unconfirmedRefusalOutcome(head)
            request.response.hasBegun && !head.isEventStream -> noContinuationOutcome(head)
            head.isSuccess && request.response.relay != null -> relayStream(head, request.response.relay)
            else -> bufferWhole(head)
        }
    }

    /** Returns the outcome if the endpoint, or a helper that it names, refused the request without running it. */
    private suspend fun refusedOutcome(metadata: ResponseMetadata): AttemptOutcome {
        reader.discardBody(RESPONSE_MAX_BYTES)
        request.mayBeRunning = false
        val refusingEndpoint = metadata.refusedBy
            ?.let { address -> attempt.assignment.helpers.find { it.published.address == address } }
            ?.published?.incarnation ?: incarnation
        context.records.health.onFailure(refusingEndpoint, REFUSED_WEIGHT)
        val failure = Failure(
            FailureCode.OVERLOADED,
            Verdict.NOT_RUN,
            "the endpoint refused the request without running it",
            retryAfterMillis = BUSY_RETRY_AFTER_MILLIS,
            endpoint = refusingEndpoint.endpoint,
        )
        return AttemptOutcome.Failed(refusingEndpoint, failure, hasReachedEndpoint = true)
    }

    /**
     * Returns the outcome if the endpoint responded with a status that callers take as a promise, without stating that
     * it has not run the request. The caller must not get that status, nor the stamp with another one.
     */
    private suspend fun unconfirmedRefusalOutcome(head: ResponseHead): AttemptOutcome {
        reader.discardBody(RESPONSE_MAX_BYTES)
        context.records.onUnconfirmedRefusal(request, incarnation, head)
        return failedOutcome("the endpoint responded with status ${head.status} and may have run the request")
    }

    private suspend fun bufferWhole(head: ResponseHead): AttemptOutcome {
        val body = Unpooled.buffer()
        return try {
            val isWhole = reader.readBody(body, RESPONSE_MAX_BYTES)
            val isOwn = isWhole && !head.isReplaced(body, connection.isOverrun)
            if (isOwn) deliverOrHold(head, body) else incompleteOutcome()
        } finally {
            body.release()
        }
    }

    private fun deliverOrHold(head: ResponseHead, body: ByteBuf): AttemptOutcome {
        prefillEnded(isSample = head.isSuccess)
        val isFailure = head.status >= SERVER_ERROR
        when {
            isFailure -> context.records.health.onFailure(incarnation, ERROR_WEIGHT)
            head.isSuccess -> context.records.onAnswered(request, incarnation)
            else -> context.records.health.onSuccess(incarnation)
        }
        return if (isFailure && request.mayRunAgain) {
            request.response.holdError(
                HeldErrorResponse(head.status, head.response.headers(), ByteBufUtil.getBytes(body)),
            )
            failedOutcome("the endpoint responded with status ${head.status}")
        } else {
            request.response.deliver(head.status, head.response.headers(), body.retain())
            AttemptOutcome.Answered
        }
    }

    /** The caller has events already, so nothing of a response that does not continue them may be passed on. */
    private fun noContinuationOutcome(head: ResponseHead): AttemptOutcome {
        if (head.status >= SERVER_ERROR) context.records.health.onFailure(incarnation, ERROR_WEIGHT)
        return failedOutcome("the endpoint responded with status ${head.status} to the continuation of a stream")
    }

    private suspend fun relayStream(head: ResponseHead, relay: StreamRelay): AttemptOutcome {
        request.response.setStreamHead(head.response)
        val end = relay.relay(connection) {
            context.records.load.recordResponse(incarnation)
            prefillEnded(isSample = !isContinuation)
        }
        if (end == StreamEnd.BROKEN) return incompleteOutcome()
        context.records.onAnswered(request, incarnation)
        request.response.endStream()
        return AttemptOutcome.Answered
    }

    private fun prefillEnded(isSample: Boolean) {
        if (isPrefillEnded) return
        isPrefillEnded = true
        progress.onFirstData()
        attempt.placed.forEach(context.records.load::prefillEnded)
        if (isSample) sampling.onFirstData(progress.sentMillis().toDouble(), monotonicMillis())
    }

    private fun incompleteOutcome(): AttemptOutcome {
        sampling.onBroken(monotonicMillis())
        context.records.onIncomplete(request, incarnation, progress.broken(connection.failure))
        return failedOutcome("the endpoint sent no complete response")
    }

    private fun failedOutcome(message: String): AttemptOutcome {
        val failure = Failure(
            FailureCode.ENDPOINT_FAILED,
            Verdict.MAY_HAVE_RUN,
            message,
            endpoint = incarnation.endpoint,
        )
        return AttemptOutcome.Failed(incarnation, failure, hasReachedEndpoint = true)
    }
}

private const val SERVER_ERROR: Int = 500

/** Largest response that is buffered until it is complete; streams are not buffered. */
private const val RESPONSE_MAX_BYTES: Int = 4 * 1024 * 1024

/** Weights of failures in the failure score of an endpoint; a weight of 1 makes it suspected at once. */
internal const val ERROR_WEIGHT: Double = 0.4
private const val REFUSED_WEIGHT: Double = 0.5
