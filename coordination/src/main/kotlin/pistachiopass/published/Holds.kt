/** When the items that are believed against the store are let go. */
package pistachiopass.published

/** Records the ends of holds by the clock [nowMillis]. */
internal class Holds(private val nowMillis: () -> Long) {
    private val endMillis = HashMap<String, Long>()

    /** Keys of the items that are held. */
    val keys: Set<String> get() = endMillis.keys

    /** Records the hold of [item], or that it has none. */
    fun record(item: PublishedItem) {
        when (val remainingMillis = item.hold?.remainingMillis) {
            null -> endMillis -= item.key
            Hold.UNTIL_REPLACED -> endMillis[item.key] = Hold.UNTIL_REPLACED
            else -> endMillis[item.key] = nowMillis() + remainingMillis
        }
    }

    /** Returns the keys of the items whose hold is over, and forgets these holds. */
    fun takeDue(): Set<String> {
        val now = nowMillis()
        return endMillis.filterValues { it <= now }.keys.also { endMillis.keys -= it }
    }

    /** Returns [item] as it is told to others: at [revision], with the time that is left of its hold. */
    fun told(item: PublishedItem, revision: Revision): PublishedItem {
        val hold = item.hold?.let { Hold(remainingMillis(item.key), it.published) }
        val isTheSame = hold == null && revision == item.revision
        return if (isTheSame) item else PublishedItem(item.key, revision, item.value, hold)
    }

    private fun remainingMillis(key: String): Long {
        val end = endMillis[key] ?: 0
        return if (end == Hold.UNTIL_REPLACED) end else maxOf(end - nowMillis(), 0)
    }
}
