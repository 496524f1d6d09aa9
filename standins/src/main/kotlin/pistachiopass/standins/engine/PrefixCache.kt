/** Prefix cache with limited memory, and the log of what it stored and evicted. */
package pistachiopass.standins.engine

import kotlinx.serialization.Serializable

/** Keeps the most recently used prompt blocks of all models; not safe for concurrent use. */
internal class PrefixCache(private val capacityBlocks: Long, private val events: CacheEventLog) {
    private val blocks: LinkedHashSet<String> = LinkedHashSet()

    /** Returns how many leading blocks of a prompt are cached, and marks them as used. */
    fun lookUp(model: String, hashes: LongArray): Int {
        var found = 0
        while (found < hashes.size && refresh(blockId(model, hashes[found]))) {
            found++
        }
        return found
    }

    /** Stores all blocks of a prompt and evicts the least recently used ones beyond the capacity. */
    fun store(model: String, hashes: LongArray, nowMillis: Long) {
        for (hash in hashes) {
            val block = blockId(model, hash)
            if (!refresh(block)) {
                blocks.add(block)
                events.add("stored", block, nowMillis)
                evictOverflow(nowMillis)
            }
        }
    }

    /** Forgets all blocks without reporting it, as an engine does that loses its memory. */
    fun clear() {
        blocks.clear()
    }

    private fun refresh(block: String): Boolean = blocks.remove(block) && blocks.add(block)

    private fun evictOverflow(nowMillis: Long) {
        while (blocks.size > capacityBlocks) {
            val oldest = blocks.first()
            blocks.remove(oldest)
            events.add("evicted", oldest, nowMillis)
        }
    }
}

/** Returns the id under which cache events name a block. */
internal fun blockId(model: String, hash: Long): String = "$model:${hash.toHexString()}"

/** Tells that a block was stored or evicted. */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: String, val block: String)

/** Answers a call for cache events. */
@Serializable
internal data class CacheEvents(val next: Long, val events: List<CacheEvent>)

/** Keeps the latest cache events and shows them late and with gaps; not safe for concurrent use. */
internal class CacheEventLog(private val lagMillis: Long, private val gap: Long) {
    private val entries: ArrayDeque<TimedCacheEvent> = ArrayDeque()
    private var lastSequence: Long = 0

    /** Adds an event, unless it is one of those that get lost. */
    fun add(kind: String, block: String, nowMillis: Long) {
        lastSequence++
        if (gap > 0 && lastSequence % gap == 0L) return
        entries.addLast(TimedCacheEvent(nowMillis, CacheEvent(lastSequence, kind, block)))
        if (entries.size > KEPT_EVENTS) entries.removeFirst()
    }

    /** Returns the visible events that follow the sequence number [after]. */
    fun after(after: Long, nowMillis: Long): CacheEvents {
        val events = entries.asSequence()
            .filter { it.event.sequence > after && it.atMillis + lagMillis <= nowMillis }
            .take(EVENTS_PER_ANSWER)
            .map { it.event }
            .toList()
        return CacheEvents(events.lastOrNull()?.sequence ?: after, events)
    }

    private class TimedCacheEvent(val atMillis: Long, val event: CacheEvent)

    private companion object {
        const val KEPT_EVENTS = 8_192
        const val EVENTS_PER_ANSWER = 1_000
    }
}
