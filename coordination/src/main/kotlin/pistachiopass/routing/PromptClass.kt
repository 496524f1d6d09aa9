/** Classes of requests by the length of their prompts, for the queue, the choice of endpoints and engine priorities. */
package pistachiopass.routing

/** Groups prompts of up to [maxTokens] tokens; the shorter class comes first. */
public enum class PromptClass(
    public val maxTokens: Long,
    /** Time in a queue after which a request of this class goes before the shorter ones of its workspace. */
    public val ageingMillis: Long,
) {
    UP_TO_4K(maxTokens = 4_000, ageingMillis = 500),
    UP_TO_16K(maxTokens = 16_000, ageingMillis = 1_000),
    UP_TO_100K(maxTokens = 100_000, ageingMillis = 5_000),
    OVER_100K(maxTokens = Long.MAX_VALUE, ageingMillis = 10_000),
    ;

    /** Whether a prefill of this class delays short prompts beside it noticeably. */
    public val isLong: Boolean get() = this >= UP_TO_100K

    /** Priority towards engines; 0 is the most urgent. */
    public val priority: Int get() = ordinal
}

/** Returns the class of a prompt of [promptTokens] tokens. */
public fun promptClassOf(promptTokens: Long): PromptClass = PromptClass.entries.first { promptTokens <= it.maxTokens }
