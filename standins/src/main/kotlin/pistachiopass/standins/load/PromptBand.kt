/** The bands of prompt length by which time to first token is reported. */
package pistachiopass.standins.load

/** Covers prompts from [minTokens] to below [endTokens]. */
public enum class PromptBand(public val text: String, public val minTokens: Int, public val endTokens: Int) {
    SHORT("1k-4k", SHORT_TOKENS, MEDIUM_TOKENS),
    MEDIUM("4k-16k", MEDIUM_TOKENS, LONG_TOKENS),
    LONG("16k-100k", LONG_TOKENS, HUGE_TOKENS),
    HUGE("over 100k", HUGE_TOKENS, Int.MAX_VALUE),
}

/** Returns the band of a prompt; one shorter than a thousand tokens counts as short. */
public fun promptBandOf(promptTokens: Int): PromptBand =
    PromptBand.entries.firstOrNull { promptTokens < it.endTokens } ?: PromptBand.HUGE

private const val SHORT_TOKENS: Int = 1_000
private const val MEDIUM_TOKENS: Int = 4_000
private const val LONG_TOKENS: Int = 16_000
private const val HUGE_TOKENS: Int = 100_000
