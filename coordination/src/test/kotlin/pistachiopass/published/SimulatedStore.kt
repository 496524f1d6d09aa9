/** A store in virtual time whose revision rises by one with each change, and which may return from a copy of itself. */
package pistachiopass.published

internal class SimulatedStore(private val nowMillis: () -> Long) {
    private class Copy(val revision: Long, val items: Map<String, PublishedItem>)

    private val items = LinkedHashMap<String, PublishedItem>()
    private val positions = ArrayList<Pair<Long, Revision>>()
    private var copy = Copy(1, emptyMap())
    var calls = 0
        private set
    var fullReads = 0
        private set

    /** Whether the store states its era. */
    var hasEras = true
    var position = Revision(1)
        private set

    fun put(key: String, bytes: Int = 50): Unit = put(key, ByteArray(bytes))

    /** Writes [value] under [key], or removes the item if [value] is null. */
    fun put(key: String, value: ByteArray?) {
        move(position.copy(value = position.value + 1))
        items[key] = PublishedItem(key, position, value)
    }

    fun valueOrNull(key: String): String? = items[key]?.value?.decodeToString()

    fun keepCopy() {
        copy = Copy(position.value, LinkedHashMap(items))
    }

    fun returnToCopy() {
        items.clear()
        items += copy.items
        move(Revision(copy.revision, if (hasEras) position.era + 1 else 0))
    }

    /** Returns the position that the store had at [atMillis]. */
    fun positionAt(atMillis: Long): Revision = positions.lastOrNull { it.first <= atMillis }?.second ?: Revision(1)

    fun isUnchanged(after: Revision): Boolean = after == position

    /** Returns the changes after [after], or all items; null if all have to be read. */
    fun readOrNull(after: Revision?): PublishedChanges? {
        calls++
        if (after != null && (after.era < position.era || after > position)) return null
        if (after == null) fullReads++
        val read = items.values.filter { if (after == null) !it.isRemoved else it.revision.value > after.value }
            .map { PublishedItem(it.key, Revision(it.revision.value, position.era), it.value) }
        return PublishedChanges(position, isFull = after == null, read)
    }

    private fun move(next: Revision) {
        position = next
        positions += nowMillis() to next
    }
}
