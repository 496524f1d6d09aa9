/** Pings that wait for an answer: own probes and pings on behalf of others. */
package pistachiopass.membership

/** A probe that was not answered directly. */
internal class UnansweredProbe(val sequence: Long, val target: MemberHost)

/** The instance that asked for a ping, and its sequence number. */
internal class RelayedPing(val requester: MemberHost, val sequence: Long)

/** Holds the pending pings by sequence number. Confined to one thread. */
internal class PendingProbes(private val nowMillis: () -> Long, private val settings: MembershipSettings) {
    private class Probe(val target: MemberHost, val sentMillis: Long, var isIndirect: Boolean = false)

    private val probes = LinkedHashMap<Long, Probe>()
    private val relayed = LinkedHashMap<Long, RelayedPing>()
    private var lastSequence = 0L

    fun nextSequence(): Long = ++lastSequence

    fun add(sequence: Long, target: MemberHost) {
        probes[sequence] = Probe(target, nowMillis())
    }

    fun relay(sequence: Long, requester: MemberHost, requestSequence: Long) {
        relayed[sequence] = RelayedPing(requester, requestSequence)
        while (relayed.size > RELAYED_MAX) relayed.remove(relayed.keys.first())
    }

    fun clear(): Unit = probes.clear()

    /** Ends the ping [sequence]; returns who is to be told, if it was relayed. */
    fun onAckOrNull(sequence: Long): RelayedPing? {
        probes -= sequence
        return relayed.remove(sequence)
    }

    /** Returns the probes that are now to be made by way of others. */
    fun takeUnanswered(): List<UnansweredProbe> {
        val due = probes.filterValues { !it.isIndirect && nowMillis() - it.sentMillis >= settings.answerMillis }
        due.values.forEach { it.isIndirect = true }
        return due.map { (sequence, probe) -> UnansweredProbe(sequence, probe.target) }
    }

    /** Returns the targets of probes that were not answered by any way, and ends these probes. */
    fun takeFailed(): List<MemberHost> {
        val failed = probes.filterValues { nowMillis() - it.sentMillis >= settings.answerMillis * 2 }
        probes.keys.removeAll(failed.keys)
        return failed.values.map { it.target }
    }
}

/** Pings on behalf of others whose answers are awaited. */
private const val RELAYED_MAX: Int = 64
