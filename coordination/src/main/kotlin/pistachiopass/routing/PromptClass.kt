/** Classes of requests by prompt length, used in the queue, in the choice of endpoints and for engine priorities. */
package pistachiopass.routing

/** Class of prompts of up to [maxTokens] tokens, in ascending order. */
public enum class PromptClass(
    public val maxTokens: Long,
    /** Time in a queue after which a request of this class goes before shorter ones of its workspace. */
    public val ageingMillis: Long,
) {
    UP_TO_4K(maxTokens = 4_000, ageingMillis = 500),
    UP_TO_16K(maxTokens = 16_000, ageingMillis = 1_000),
    UP_TO_100K(maxTokens = 100_000, ageingMillis = 5_000),
    OVER_100K(maxTokens = Long.MAX_VALUE, ageingMillis = 10_000),
    ;

    /** Whether the prefill of such a prompt noticeably delays short prompts on the same endpoint. */
    public val isLong: Boolean get() = this >= UP_TO_100K

    /** Priority that is sent to engines; 0 is the most urgent. */
    public val priority: Int get() = ordinal
}

/** Returns the class of a prompt of [promptTokens] tokens. */
public fun promptClassOf(promptTokens: Long): PromptClass = PromptClass.entries.first { promptTokens <= it.maxTokens }
