/**
 * The latest version of each published item, from which changes after a position can be read again.
 *
 * Nothing goes back within an era: an item whose position is not above that of the known one is ignored, from wherever
 * it comes, and so is whatever is of an earlier era. Removed items are kept as tombstones, so that readers that are
 * behind learn of the removal.
 *
 * A later era is entered with all items. One that is the same as before keeps its position of the earlier era, so that
 * readers which are where this log was need only what differs; see [EraSpans]. What differs is decided by an
 * [ItemOrder]: a known item that is believed against the store is held, with what the store has beside it.
 */
package pistachiopass.published

/** Holds the items; of removed ones only the latest [tombstonesMax]. Confined to one thread. */
public class PublishedLog(
    /** A clock for the time for which items are held. */
    nowMillis: () -> Long,
    private val order: ItemOrder = ItemOrder.ByRevision,
    tombstonesMax: Int = TOMBSTONES_MAX,
) {
    private val index = ItemIndex(tombstonesMax)
    private val spans = EraSpans()
    private val holds = Holds(nowMillis)

    /** Keys of the items whose hold has ended in this era; others may still hold them. */
    private val endedHolds = HashSet<String>()

    /** Position up to which all changes are included, or null while nothing is known. */
    public var position: Revision? = null
        private set

    /** Number of items that are believed against what the store has. */
    public val heldCount: Int get() = holds.keys.size

    /** Applies [changes] and returns what they changed here, with a tombstone for each item that no longer exists. */
    public fun apply(changes: PublishedChanges): List<PublishedItem> {
        val known = position
        require(changes.isFull || known != null) { "changes up to ${changes.position} need a full state first" }
        if (known != null && changes.position.era < known.era) return emptyList()
        val isEntered = known != null && changes.position.era > known.era && changes.isFull
        val isNewest = changes.isFull && (known == null || changes.position >= known)
        val put: (PublishedItem) -> Boolean =
            { if (isEntered) enter(it, changes.position) else isNews(it, isNewest) && accept(it) }
        val applied = changes.items.filterTo(ArrayList(), put)
        if (changes.isFull) unlistedIn(changes, isEntered).filterTo(applied, put)
        val next = maxOf(known ?: changes.position, changes.position)
        if (known?.era != next.era) {
            spans.enter(next, leftAt = known)
            endedHolds.clear()
            if (!isEntered) holds.keys.mapNotNull(index::get).mapNotNull(order::renewedOrNull).forEach(::replace)
        }
        position = next
        index.dropOldTombstones()?.let(spans::dropBefore)
        return applied
    }

    /**
     * Applies some changes of the present era without those before them, and returns what they changed here. Where this
     * log is in another era, or knows nothing yet, they change nothing.
     */
    public fun applySome(items: List<PublishedItem>): List<PublishedItem> {
        val era = position?.era ?: return emptyList()
        return items.filter { it.revision.era == era && isNews(it, isNewest = false) && accept(it) }
    }

    /** Returns the changes after [after], or all items if [after] is null or the changes after it are not known. */
    public fun changesAfter(after: Revision?): PublishedChanges {
        val known = checkNotNull(position) { "no state is known" }
        if (after == null || !spans.isKnownSince(after)) {
            val existing = index.items.filter { !it.isRemoved || it.hold != null }
            val told = existing.map { holds.told(it, spans.positionIn(known.era, it)) }
            return PublishedChanges(known, isFull = true, told)
        }
        return PublishedChanges(known, isFull = false, index.changesAfter(after).map { holds.told(it, it.revision) })
    }

    /** The items that are believed against what the store has. */
    public val held: List<PublishedItem>
        get() = holds.keys.mapNotNull(index::get).map { holds.told(it, it.revision) }

    /**
     * Applies what another instance in the same era has [held], as far as it is held against what the store has as this
     * log knows it, and returns what that changed.
     */
    public fun believe(held: List<PublishedItem>): List<PublishedItem> = held.filter { item ->
        val isHeldAgainstThis = item.hold != null && item.published.contentEquals(index[item.key]?.published)
        isHeldAgainstThis && isNews(item, isNewest = true) && accept(item)
    }

    /** Ends the holds whose time is over, and returns the items that thereby become what the store has. */
    public fun expireHolds(): List<PublishedItem> {
        val due = holds.takeDue().mapNotNull(index::get)
        val published = due.map { PublishedItem(it.key, it.revision, it.published) }
        published.forEach(::replace)
        published.mapTo(endedHolds) { it.key }
        return published.filterIndexed { at, item -> !item.isSameAs(due[at]) }
    }

    /**
     * Returns whether [item] is later than what is known of it, or the better belief.
     *
     * One that is not known, though it is of before the position, has been removed since unless [isNewest].
     */
    private fun isNews(item: PublishedItem, isNewest: Boolean): Boolean {
        val known = position
        val before = index[item.key] ?: return isNewest || known == null || item.revision > known
        val isHeld = item.hold != null || before.hold != null
        return if (isHeld && item.published.contentEquals(before.published)) {
            item.key !in endedHolds && order.isBetterBelief(item, before)
        } else {
            item.revision > spans.positionIn(known?.era ?: 0, before)
        }
    }

    /** Applies a later version of an item, or a better belief; returns whether its value is news. */
    private fun accept(item: PublishedItem): Boolean {
        val before = index[item.key]
        if (before != null && !item.isSameAs(before) && !order.isReplaced(before, item)) {
            replace(before.heldAgainst(item, Hold.UNTIL_REPLACED, item.revision))
            return false
        }
        val revision = maxOf(item.revision, before?.revision ?: item.revision)
        replace(if (revision == item.revision) item else PublishedItem(item.key, revision, item.value, item.hold))
        val isRepeated = item.hold != null || before != null && before.revision.era < item.revision.era
        return before == null || !isRepeated || !item.isSameAs(before)
    }

    /** Applies [item] of an era that begins here at [start]; returns whether its value is news. */
    private fun enter(item: PublishedItem, start: Revision): Boolean {
        val before = index[item.key]
        if (before != null && item.isSameAs(before)) {
            if (before.hold != null || item.hold != null) replace(item)
            return false
        }
        val isHeldRemoval = item.isRemoved && item.hold != null
        val beliefMillis = before?.takeUnless { isHeldRemoval }?.let { order.beliefMillis(it, item) } ?: 0
        val isBelieved = before != null && beliefMillis > 0
        replace(if (before != null && isBelieved) before.heldAgainst(item, beliefMillis, start) else item)
        return !isBelieved
    }

    private fun unlistedIn(full: PublishedChanges, isEntered: Boolean): List<PublishedItem> {
        val listed = full.items.mapTo(HashSet()) { it.key }
        val unlisted = index.items.filter { it.key !in listed }
        return if (isEntered) {
            unlisted.filter { it.value != null || it.published != null }.map { tombstoneOf(it, full.position) }
        } else {
            unlisted.filter { it.published != null && spans.positionIn(full.position.era, it) <= full.position }
                .map { tombstoneOf(it, maxOf(full.position, it.revision.copy(value = it.revision.value + 1))) }
        }
    }

    private fun replace(item: PublishedItem) {
        index.put(item)
        holds.record(item)
    }
}

private fun PublishedItem.heldAgainst(next: PublishedItem, millis: Long, revision: Revision) =
    PublishedItem(key, revision, value, Hold(millis, next.published))

/** Returns [item], which is held, with the time that it needs to be written again after another return, or null. */
private fun ItemOrder.renewedOrNull(item: PublishedItem): PublishedItem? {
    val published = PublishedItem(item.key, item.revision, item.published)
    val beliefMillis = beliefMillis(item, published)
    return if (beliefMillis > 0) item.heldAgainst(published, beliefMillis, item.revision) else null
}

/**
 * Returns whether [item] is to be believed rather than [before], both on top of the same version in the store. Between
 * two that are held the positions do not tell: they depend on when an instance entered the era.
 */
private fun ItemOrder.isBetterBelief(item: PublishedItem, before: PublishedItem): Boolean = when {
    item.hold == null -> false
    before.hold == null -> before.revision <= item.revision && !before.isRemovedIn(item.revision.era)
    item.isRemoved || before.isRemoved -> !before.isRemoved
    else -> !item.isSameAs(before) && beliefMillis(before, item) == 0L
}

/** What was removed in an era was not believed any more, or was written again and removed. */
private fun PublishedItem.isRemovedIn(era: Long): Boolean = isRemoved && revision.era == era

private fun tombstoneOf(item: PublishedItem, revision: Revision) = PublishedItem(item.key, revision, value = null)

/** Removed items that are remembered: several times the engines of a large fleet, so few readers need all items. */
private const val TOMBSTONES_MAX: Int = 8_192
