/**
 * Decides which version of an item holds where the store's positions alone do not tell.
 *
 * Within an era the later change holds. A store that returns from an older copy lists older versions in a later era,
 * and what it has lost is written again only after a while. The content of some items tells which version is newer.
 */
package pistachiopass.published

/** Compares versions of items by their content. */
public interface ItemOrder {
    /** Returns whether [next], a later change in the same era, replaces [known]. */
    public fun isReplaced(known: PublishedItem, next: PublishedItem): Boolean

    /**
     * Returns for how long [known], which is of an earlier era, is believed against [next], in milliseconds: 0 if
     * [next] holds at once, [Hold.UNTIL_REPLACED] if only a later change replaces [known].
     */
    public fun beliefMillis(known: PublishedItem, next: PublishedItem): Long

    /** The version that was published next always holds. */
    public data object ByRevision : ItemOrder {
        override fun isReplaced(known: PublishedItem, next: PublishedItem): Boolean = true

        override fun beliefMillis(known: PublishedItem, next: PublishedItem): Long = 0
    }
}
