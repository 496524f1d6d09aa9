/**
 * Forecasts prefill and decode times from the published speeds of an engine.
 *
 * The prefill time is linear in the prompt's tokens, plus a time for each pair of tokens (attention). An engine decodes
 * in passes: one pass runs a fixed number of decode steps for the whole batch, and any prefill in a pass delays every
 * request that is decoded in it.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EngineSpeeds

/** Returns the time in milliseconds in which one engine prefills a prompt of [promptTokens] without other load. */
public fun EngineSpeeds.prefillMillis(promptTokens: Long): Double =
    promptTokens / prefillTokensPerMillis +
        promptTokens.toDouble() * promptTokens / 2 / PAIRS_PER_MILLION * millionPairsMillis

/** Returns the time in milliseconds of one pass that decodes [decodingRequests] with [contextTokens] in total. */
public fun EngineSpeeds.passMillis(decodingRequests: Int, contextTokens: Long): Double =
    decodeStepsPerPass * (
        stepMillis + perSequenceMillis * decodingRequests +
            perThousandContextMillis * contextTokens / TOKENS_PER_THOUSAND
        )

/** Returns the time in milliseconds to decode [answerTokens] in a batch with [decodingRequests] other requests. */
public fun EngineSpeeds.decodeMillis(answerTokens: Long, decodingRequests: Int, contextTokens: Long): Double =
    (answerTokens.toDouble() / decodeStepsPerPass + 1) * passMillis(decodingRequests + 1, contextTokens)

private const val PAIRS_PER_MILLION: Double = 1e6
private const val TOKENS_PER_THOUSAND: Double = 1e3
