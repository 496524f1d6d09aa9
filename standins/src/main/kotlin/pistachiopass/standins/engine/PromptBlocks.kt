/**
 * Size and block hashes of a prompt.
 *
 * Contents are hashed as they follow each other, by FNV-1a with 64 bits over UTF-16 units. The hash of a block covers
 * the whole prompt up to the block's end, so equal hashes mean equal prefixes.
 */
package pistachiopass.standins.engine

/** Holds the size of a prompt and the hash of each whole block of it. */
internal class PromptBlocks(val promptTokens: Int, val hashes: LongArray)

/** Returns the size and the block hashes of a prompt made of [contents]. */
internal fun promptBlocksOf(contents: List<String>): PromptBlocks {
    val characters = contents.sumOf { it.length }
    val hashes = LongArray(characters / BLOCK_CHARACTERS)
    var hash = FNV_OFFSET_BASIS
    var position = 0
    for (content in contents) {
        for (character in content) {
            hash = (hash xor character.code.toLong()) * FNV_PRIME
            position++
            if (position % BLOCK_CHARACTERS == 0) {
                hashes[position / BLOCK_CHARACTERS - 1] = hash
            }
        }
    }
    return PromptBlocks((characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN, hashes)
}

/** Characters of one token. */
internal const val CHARACTERS_PER_TOKEN: Int = 4

/** Tokens of one block of the prefix cache. */
internal const val BLOCK_TOKENS: Int = 256

private const val BLOCK_CHARACTERS: Int = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
private const val FNV_OFFSET_BASIS: Long = -3750763034362895579
private const val FNV_PRIME: Long = 1099511628211
