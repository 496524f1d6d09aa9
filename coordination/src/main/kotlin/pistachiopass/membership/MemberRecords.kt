/**
 * What an instance believes of the members of its fleet, and which of it others have yet to be told.
 *
 * The statement with the higher incarnation holds; of two with the same incarnation, the worse one does.
 */
package pistachiopass.membership

import pistachiopass.model.DataCentreId
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

/** What is believed of one member, since [sinceMillis]. */
internal class MemberRecord(val update: MemberUpdate, val sinceMillis: Long) {
    val member: Member get() = update.member
    val status: MemberStatus get() = update.status
}

/** Holds the records of all members but the own instance. Confined to one thread. */
internal class MemberRecords(private val nowMillis: () -> Long, private val random: Random) {
    private val records = LinkedHashMap<MemberHost, MemberRecord>()
    private val transmissions = LinkedHashMap<MemberHost, Int>()
    private var live: List<Member>? = null
    private var all: List<Member>? = null

    /** Number of members of which something is yet to be told. */
    val pending: Int get() = transmissions.size

    /** Members that are alive or suspect. */
    val liveMembers: List<Member>
        get() = live ?: records.values.filter { it.status != MemberStatus.DEAD }.map { it.member }.also { live = it }

    /** Members of any status. */
    val members: List<Member> get() = all ?: records.values.map { it.member }.also { all = it }

    operator fun get(host: MemberHost): MemberRecord? = records[host]

    fun isLive(host: MemberHost): Boolean = records[host]?.let { it.status != MemberStatus.DEAD } ?: false

    /** Takes over [update] if it is newer than what is known; returns whether it is. */
    fun offer(update: MemberUpdate): Boolean {
        val known = records[update.member.host]?.update
        if (known != null && !update.overrides(known)) return false
        records[update.member.host] = MemberRecord(update, nowMillis())
        transmissions[update.member.host] = 0
        live = null
        all = null
        return true
    }

    fun countByDataCentre(): Map<DataCentreId, Int> = records.values.groupingBy { it.member.dataCentre }.eachCount()

    /** Returns the members that have been suspect since [sinceMillis] or longer. */
    fun suspectsSince(sinceMillis: Long): List<MemberUpdate> =
        records.values.filter { it.status == MemberStatus.SUSPECT && it.sinceMillis < sinceMillis }.map { it.update }

    fun randomDeadOrNull(): MemberHost? =
        records.values.filter { it.status == MemberStatus.DEAD }.randomOrNull(random)?.member?.host

    /** Forgets members that have been dead for longer than [millis]. */
    fun forgetDead(millis: Long) {
        val now = nowMillis()
        val hasForgotten = records.values.removeIf { it.status == MemberStatus.DEAD && now - it.sinceMillis > millis }
        if (!hasForgotten) return
        transmissions.keys.retainAll(records.keys)
        all = null
    }

    /**
     * Returns at most [count] updates for a message to [receiver]: those that were sent least so far, and then others
     * in turn, which repairs what got lost. Most of these are of the receiver's data centre, which it needs to know.
     */
    fun updatesToSend(count: Int, receiver: MemberHost): List<MemberUpdate> {
        val limit = TRANSMISSIONS_PER_DOUBLING * ceil(ln(records.size + 2.0) / ln(2.0)).toInt()
        val dataCentre = records[receiver]?.member?.dataCentre
        val isForeign = { host: MemberHost -> records[host]?.member?.dataCentre != dataCentre }
        val hosts = transmissions.keys.sortedBy { transmissions.getValue(it) + if (isForeign(it)) FOREIGN_RANK else 0 }
            .take(count)
        hosts.forEach(::countTransmission)
        transmissions.values.removeIf { it >= limit }
        val chosen = hosts.mapNotNullTo(LinkedHashSet()) { records[it]?.update }
        val (local, others) = records.values.map { it.update }.partition { it.member.dataCentre == dataCentre }
        local.takeInTurn((count - chosen.size) * LOCAL_REPAIRS_PERCENT / PERCENT, chosen)
        others.takeInTurn(count - chosen.size, chosen)
        return chosen.toList()
    }

    private fun List<MemberUpdate>.takeInTurn(count: Int, target: MutableCollection<MemberUpdate>) {
        val first = if (isEmpty()) 0 else random.nextInt(size)
        repeat(minOf(count, size)) { target += this[(first + it) % size] }
    }

    private fun countTransmission(host: MemberHost) {
        transmissions.merge(host, 1, Int::plus)
    }
}

private fun MemberUpdate.overrides(known: MemberUpdate): Boolean =
    member.incarnation > known.member.incarnation ||
        (member.incarnation == known.member.incarnation && status > known.status)

/** Times that an update is passed on for each doubling of the instances that have it; see Das et al., "SWIM", 2002. */
private const val TRANSMISSIONS_PER_DOUBLING: Int = 2

/** Transmissions by which news of other data centres than the receiver's ranks later. */
private const val FOREIGN_RANK: Int = 4
private const val LOCAL_REPAIRS_PERCENT: Int = 60
private const val PERCENT: Int = 100
