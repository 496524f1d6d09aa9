/** What an instance knows of ledgers that moved: who holds the keys of which issuer. */
package pistachiopass.booking

/** Remembers the holders of at most [capacity] issuers; safe for use by many threads. */
public class HolderDirectory(private val capacity: Int = DEFAULT_HOLDER_CAPACITY) {
    private val holders: LinkedHashMap<Incarnation, Incarnation> = LinkedHashMap()

    /** Remembers that [holder] holds the keys of [issuer]; an entry may be old, the holder itself has the last word. */
    @Synchronized
    public fun learn(issuer: Incarnation, holder: Incarnation) {
        holders.remove(issuer)
        holders[issuer] = holder
        if (holders.size > capacity) holders.remove(holders.keys.first())
    }

    /** Returns the holder of the keys of [issuer], or null when no move of them is known. */
    @Synchronized
    public fun holderOrNull(issuer: Incarnation): Incarnation? = holders[issuer]
}

private const val DEFAULT_HOLDER_CAPACITY: Int = 4_096
