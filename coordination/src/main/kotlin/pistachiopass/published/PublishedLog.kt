/**
 * The latest version of each published item, from which changes after a position can be read again.
 *
 * Nothing goes back: an item whose revision is not above that of the known one is ignored, from wherever it comes.
 * Removed items are kept as tombstones, so that readers that are behind learn of the removal. Confined to one thread.
 */
package pistachiopass.published

import java.util.TreeMap

/** Holds the items; of removed ones only the latest [tombstonesMax]. */
public class PublishedLog(private val tombstonesMax: Int = TOMBSTONES_MAX) {
    private val itemsByKey = HashMap<String, PublishedItem>()
    private val itemsByRevision = TreeMap<Revision, MutableList<PublishedItem>>()
    private val tombstones = TreeMap<Revision, Int>()
    private var tombstoneCount = 0

    /** Position from which all changes are known; tombstones before it were dropped. */
    private var horizon: Revision? = null

    /** Position up to which all changes are included, or null while nothing is known. */
    public var position: Revision? = null
        private set

    /** Applies [changes] and returns what they changed here, with a tombstone for each item that no longer exists. */
    public fun apply(changes: PublishedChanges): List<PublishedItem> {
        require(changes.isFull || position != null) { "changes up to ${changes.position} need a full state first" }
        val isNewest = changes.isFull && (position?.let { changes.position >= it } ?: true)
        val applied = changes.items.filterTo(ArrayList()) { isNews(it, isNewest) && put(it) }
        if (changes.isFull) unlistedIn(changes).filterTo(applied, ::put)
        position = maxOf(position ?: changes.position, changes.position)
        if (horizon == null) horizon = changes.position
        dropOldTombstones()
        return applied
    }

    /** Returns the changes after [after], or all existing items if [after] is null or older than the known history. */
    public fun changesAfter(after: Revision?): PublishedChanges {
        val known = checkNotNull(position) { "no state is known" }
        if (after == null || after < (horizon ?: known)) {
            return PublishedChanges(known, isFull = true, itemsByKey.values.filterNot { it.isRemoved })
        }
        val items = itemsByRevision.tailMap(after, false).values.flatten()
        return PublishedChanges(known, isFull = false, items)
    }

    /** An item that is not known, though it is of before the position, has been removed since unless [isNewest]. */
    private fun isNews(item: PublishedItem, isNewest: Boolean): Boolean =
        isNewest || item.key in itemsByKey || position?.let { item.revision > it } ?: true

    private fun put(item: PublishedItem): Boolean {
        val known = itemsByKey[item.key]
        if (known != null && item.revision <= known.revision) return false
        if (known != null) forget(known)
        itemsByKey[item.key] = item
        itemsByRevision.getOrPut(item.revision) { ArrayList(1) } += item
        if (item.isRemoved) count(item.revision, 1)
        return true
    }

    private fun unlistedIn(full: PublishedChanges): List<PublishedItem> {
        val listed = full.items.mapTo(HashSet()) { it.key }
        return itemsByKey.values
            .filter { !it.isRemoved && it.key !in listed && it.revision <= full.position }
            .map { PublishedItem(it.key, maxOf(full.position, Revision(it.revision.value + 1)), value = null) }
    }

    private fun forget(item: PublishedItem) {
        itemsByRevision[item.revision]?.let {
            it.remove(item)
            if (it.isEmpty()) itemsByRevision.remove(item.revision)
        }
        if (item.isRemoved) count(item.revision, -1)
    }

    private fun count(revision: Revision, step: Int) {
        tombstoneCount += step
        tombstones.merge(revision, step) { before, change -> (before + change).takeIf { it > 0 } }
    }

    private fun dropOldTombstones() {
        while (tombstoneCount > tombstonesMax) {
            val oldest = tombstones.firstKey()
            itemsByRevision[oldest].orEmpty().filter { it.isRemoved }.forEach {
                forget(it)
                itemsByKey.remove(it.key)
            }
            horizon = maxOf(horizon ?: oldest, oldest)
        }
    }
}

/** Removed items that are remembered: several times the engines of a large fleet, so few readers need all items. */
private const val TOMBSTONES_MAX: Int = 8_192
