/** Items by key and by the position of their last change. */
package pistachiopass.published

import java.util.TreeMap

/** Holds the latest version of each item; of removed ones only the latest [tombstonesMax]. */
internal class ItemIndex(private val tombstonesMax: Int) {
    private val itemsByKey = HashMap<String, PublishedItem>()
    private val itemsByRevision = TreeMap<Revision, MutableList<PublishedItem>>()
    private val tombstones = TreeMap<Revision, Int>()
    private var tombstoneCount = 0

    /** All items, also those that were removed. */
    val items: Collection<PublishedItem> get() = itemsByKey.values

    operator fun get(key: String): PublishedItem? = itemsByKey[key]

    /** Puts [item] in place of the version that is there. */
    fun put(item: PublishedItem) {
        itemsByKey.put(item.key, item)?.let(::forget)
        itemsByRevision.getOrPut(item.revision) { ArrayList(1) } += item
        if (item.isTombstone) count(item.revision, 1)
    }

    /** Returns the items that changed after [after], in the order of their changes. */
    fun changesAfter(after: Revision): List<PublishedItem> = itemsByRevision.tailMap(after, false).values.flatten()

    /** Drops the oldest removed items beyond the limit; returns the position of the last one, or null for none. */
    fun dropOldTombstones(): Revision? {
        var last: Revision? = null
        while (tombstoneCount > tombstonesMax) {
            val oldest = tombstones.firstKey()
            itemsByRevision[oldest].orEmpty().filter { it.isTombstone }.forEach {
                forget(it)
                itemsByKey.remove(it.key)
            }
            last = oldest
        }
        return last
    }

    private fun forget(item: PublishedItem) {
        itemsByRevision[item.revision]?.let {
            it.remove(item)
            if (it.isEmpty()) itemsByRevision.remove(item.revision)
        }
        if (item.isTombstone) count(item.revision, -1)
    }

    private fun count(revision: Revision, step: Int) {
        tombstoneCount += step
        tombstones.merge(revision, step) { before, change -> (before + change).takeIf { it > 0 } }
    }
}

/** One that is held has to be known until what the store has holds again. */
private val PublishedItem.isTombstone: Boolean get() = isRemoved && hold == null
