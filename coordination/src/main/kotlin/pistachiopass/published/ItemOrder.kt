/**
 * Decides which version of an item holds where the store's positions alone do not tell.
 *
 * Within an era the later change holds. A store that returns from an older copy lists older versions in a later era,
 * and what it has lost is written again only after a while. The content of some items tells which version is newer.
 */
package pistachiopass.published

/** Which of two versions of an item holds. */
public enum class Precedence {
    /** The version that was published next. */
    NEXT,

    /** The known version, until a newer one is published. */
    KNOWN,

    /** The known version, until the item is published again or would have been. */
    KNOWN_FOR_NOW,
}

/** Compares versions of items by their content. */
public interface ItemOrder {
    /** Returns whether [known] or [next], a later change in the same era, holds; never [Precedence.KNOWN_FOR_NOW]. */
    public fun withinEra(known: PublishedItem, next: PublishedItem): Precedence

    /** Returns whether [known], which is of an earlier era, or [next] holds; an item that does not exist is removed. */
    public fun acrossEras(known: PublishedItem, next: PublishedItem): Precedence

    /** The version that was published next always holds. */
    public data object ByRevision : ItemOrder {
        override fun withinEra(known: PublishedItem, next: PublishedItem): Precedence = Precedence.NEXT

        override fun acrossEras(known: PublishedItem, next: PublishedItem): Precedence = Precedence.NEXT
    }
}
