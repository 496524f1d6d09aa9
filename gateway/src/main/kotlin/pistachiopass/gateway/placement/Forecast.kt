/**
 * Forecasts, from the published speeds of an engine, how long it reads a prompt and how long a writing pass lasts.
 *
 * Reading takes linear time in the prompt's tokens plus time for each pair of tokens. While an engine writes, it runs
 * passes of a fixed number of token steps, and whatever it reads in a pass delays every writer of that pass.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EngineSpeeds

/** Returns the time in milliseconds that one engine takes to read a prompt of [promptTokens] alone. */
public fun EngineSpeeds.prefillMillis(promptTokens: Long): Double =
    promptTokens / prefillTokensPerMillis +
        promptTokens.toDouble() * promptTokens / 2 / PAIRS_PER_MILLION * millionPairsMillis

/** Returns the time in milliseconds of one pass that decodes [decodingRequests] with [contextTokens] in total. */
public fun EngineSpeeds.passMillis(decodingRequests: Int, contextTokens: Long): Double =
    decodeStepsPerPass * (
        stepMillis + perSequenceMillis * decodingRequests +
            perThousandContextMillis * contextTokens / TOKENS_PER_THOUSAND
        )

/** Returns the time in milliseconds to write [answerTokens] beside [decodingRequests] others. */
public fun EngineSpeeds.decodeMillis(answerTokens: Long, decodingRequests: Int, contextTokens: Long): Double =
    (answerTokens.toDouble() / decodeStepsPerPass + 1) * passMillis(decodingRequests + 1, contextTokens)

private const val PAIRS_PER_MILLION: Double = 1e6
private const val TOKENS_PER_THOUSAND: Double = 1e3
