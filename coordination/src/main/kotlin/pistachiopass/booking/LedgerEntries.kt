/** The keys of a ledger in the order in which they expire, with the account of their memory. */
package pistachiopass.booking

import kotlin.time.ComparableTimeMark

/** Holds entries; guarded by the lock of the ledger. */
internal class LedgerEntries {
    private val entries: LinkedHashMap<LedgerKey, LedgerEntry> = LinkedHashMap()

    /** Memory of all entries. */
    var bytes: Long = 0
        private set

    val size: Int get() = entries.size

    operator fun get(key: LedgerKey): LedgerEntry? = entries[key]

    fun put(key: LedgerKey, entry: LedgerEntry) {
        check(entries.put(key, entry) == null) { "key ${key.sequence} of ${key.issuer} is held already" }
        bytes += entry.heldBytes()
    }

    /** Records the outcome of [key] until [expiresAt]. */
    fun record(key: LedgerKey, outcome: BookingOutcome, expiresAt: ComparableTimeMark) {
        val entry = checkNotNull(entries.remove(key)) { "key ${key.sequence} of ${key.issuer} is not held" }
        bytes -= entry.heldBytes()
        entry.state = KeyState.ENDED
        entry.outcome = outcome
        entry.expiresAt = expiresAt
        put(key, entry)
    }

    /** Removes what has expired; an adopted entry may stay behind a later one and is removed after it. */
    fun removeExpired() {
        entries.entries.asSequence()
            .filter { it.value.state != KeyState.RUNNING }
            .takeWhile { it.value.hasExpired() }
            .map { it.key }
            .toList()
            .forEach(::remove)
    }

    private fun remove(key: LedgerKey) {
        entries.remove(key)?.let { bytes -= it.heldBytes() }
    }

    fun toExported(): List<ExportedKey> = entries.map { (key, entry) -> entry.toExported(key) }
}
