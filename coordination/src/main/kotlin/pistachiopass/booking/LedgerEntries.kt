/** The keys of a ledger in the order of their expiry, with the memory that they take. */
package pistachiopass.booking

import kotlin.time.ComparableTimeMark

/** Holds the entries of a [BookingLedger]; not thread-safe, guarded by the lock of the ledger. */
internal class LedgerEntries {
    private val entries: LinkedHashMap<LedgerKey, LedgerEntry> = LinkedHashMap()

    /** Memory of all entries, as estimated by [LedgerEntry.heldBytes]. */
    var bytes: Long = 0
        private set

    val size: Int get() = entries.size

    operator fun get(key: LedgerKey): LedgerEntry? = entries[key]

    fun put(key: LedgerKey, entry: LedgerEntry) {
        check(entries.put(key, entry) == null) { "key ${key.sequence} of ${key.issuer} is already held" }
        bytes += entry.heldBytes()
    }

    /** Records the outcome of [key], which is kept until [expiresAt]. */
    fun record(key: LedgerKey, outcome: BookingOutcome, expiresAt: ComparableTimeMark) {
        val entry = checkNotNull(entries.remove(key)) { "key ${key.sequence} of ${key.issuer} is not held" }
        bytes -= entry.heldBytes()
        entry.state = KeyState.ENDED
        entry.outcome = outcome
        entry.expiresAt = expiresAt
        put(key, entry)
    }

    /** Removes expired entries; an adopted entry behind one that expires later is removed only after that one. */
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
