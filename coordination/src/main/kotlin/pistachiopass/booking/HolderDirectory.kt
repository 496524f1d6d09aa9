/** What an instance knows of moved ledgers: which incarnation holds the keys of which issuer. */
package pistachiopass.booking

/** Remembers the holders of the keys of the last [capacity] issuers that were recorded; thread-safe. */
public class HolderDirectory(private val capacity: Int = DEFAULT_HOLDER_CAPACITY) {
    private val holders: LinkedHashMap<Incarnation, Incarnation> = LinkedHashMap()

    /** Records that [holder] holds the keys of [issuer]. This may be outdated; only the holder's own ledger decides. */
    @Synchronized
    public fun record(issuer: Incarnation, holder: Incarnation) {
        holders.remove(issuer)
        holders[issuer] = holder
        if (holders.size > capacity) holders.remove(holders.keys.first())
    }

    /** Returns the holder of the keys of [issuer], or null when none is known. */
    @Synchronized
    public fun holderOrNull(issuer: Incarnation): Incarnation? = holders[issuer]
}

private const val DEFAULT_HOLDER_CAPACITY: Int = 4_096
