/**
 * Membership of a fleet by random probes and gossip, after Das, Gupta and Motivala, "SWIM", 2002.
 *
 * Each period an instance pings one other. Without an answer it asks others to ping it, then suspects it, and after a
 * while declares it dead unless it has refuted that. What changes travels in the pings and their answers. Messages per
 * instance and time to detect a failure do not depend on the number of instances, so this serves fleets of a thousand
 * as well as of three.
 *
 * The members are an estimate: instances may see different ones, and a member that is only silent may count as dead.
 * Nothing that has to hold may depend on it.
 */
package pistachiopass.membership

import kotlin.random.Random

/** The members that [self] knows. Time, randomness and transport are passed in; confined to one thread. */
public class GossipMembership(
    self: Member,
    seeds: List<MemberHost>,
    private val nowMillis: () -> Long,
    private val random: Random = Random.Default,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private val records = MemberRecords(nowMillis, random)
    private val probes = PendingProbes(nowMillis, settings)
    private val schedule = ProbeSchedule(self, seeds, records, nowMillis, random, settings)
    private val messages = MessageBuilder(self, records, probes, FleetSize(nowMillis, settings.forgetMillis), settings)
    private val hasOtherSeeds = seeds.any { it != self.host }
    private var lastTickMillis = nowMillis()
    private var isLeaving = false

    /** The own instance, with its present incarnation. */
    public val self: Member get() = messages.self

    /** Other members that are not known to have failed. */
    public val live: List<Member> get() = records.liveMembers

    /** Other members, those included that failed or stopped within the time for which dead ones are remembered. */
    public val remembered: List<Member> get() = records.members

    /** Time of the start, or the last time at which no other instance was known although there were seeds to meet. */
    public var joiningSinceMillis: Long = nowMillis()
        private set

    /**
     * Number of instances, this one included, that were members within the time for which dead ones are remembered;
     * those that only other instances know are included.
     */
    public val instances: Int get() = messages.instances

    /** Returns the messages that are due; to be called several times in each period. */
    public fun tick(): List<MembershipDatagram> {
        if (isLeaving) return emptyList()
        val now = nowMillis()
        if (hasOtherSeeds && remembered.isEmpty()) joiningSinceMillis = now
        // Answers may wait unread after a pause of this process, so nobody is blamed for those that are missing.
        if (now - lastTickMillis > settings.answerMillis * 2) probes.clear()
        lastTickMillis = now
        val requests = probes.takeUnanswered().flatMap(::askOthers)
        probes.takeFailed().mapNotNull(records::get).filter { it.status == MemberStatus.ALIVE }.forEach {
            learn(it.update.copy(status = MemberStatus.SUSPECT))
        }
        records.suspectsSince(now - settings.suspicionMillis).forEach { learn(it.copy(status = MemberStatus.DEAD)) }
        records.forgetDead(settings.forgetMillis)
        val probe = schedule.nextProbeOrNull()?.let { target -> messages.ping(target) { probes.add(it, target) } }
        return requests + listOfNotNull(probe) + schedule.seedsDue().map { messages.ping(it) { } }
    }

    /** Takes in [message] of [sender] and returns the answers to send. */
    public fun receive(sender: MemberHost, message: MembershipMessage): List<MembershipDatagram> {
        val isNew = !records.isLive(sender)
        message.updates.forEach(::learn)
        messages.learn(message.counts)
        return when (message) {
            is Ping -> {
                learn(MemberUpdate(message.from))
                listOf(MembershipDatagram(sender, messages.answer(sender, message.sequence, isNew)))
            }
            is Ack -> {
                val relayed = probes.onAckOrNull(message.sequence)
                listOfNotNull(relayed?.let { MembershipDatagram(it.requester, messages.ack(it.sequence)) })
            }
            is PingRequest -> listOf(messages.ping(message.target) { probes.relay(it, sender, message.sequence) })
            is Leave -> emptyList()
        }
    }

    /** Returns the messages by which this instance says that it stops; afterwards it only listens. */
    public fun leave(): List<MembershipDatagram> {
        isLeaving = true
        val message = Leave(listOf(MemberUpdate(self, MemberStatus.DEAD)))
        return live.shuffled(random).take(LEAVE_TARGETS).map { MembershipDatagram(it.host, message) }
    }

    private fun askOthers(unanswered: UnansweredProbe): List<MembershipDatagram> =
        live.filter { it.host != unanswered.target }
            .shuffled(random)
            .take(settings.helpers)
            .map { MembershipDatagram(it.host, PingRequest(unanswered.sequence, unanswered.target, messages.own())) }

    private fun learn(update: MemberUpdate) {
        val isAboutSelf = update.member.host == self.host
        val isNewer = update.member.incarnation > self.incarnation
        val isFailure = update.status != MemberStatus.ALIVE && update.member.incarnation == self.incarnation
        when {
            !isAboutSelf -> records.offer(update)
            (isNewer || isFailure) && !isLeaving ->
                messages.self = self.copy(incarnation = update.member.incarnation + 1)
        }
    }
}

/** Members that are told of a stop; the gossip of these reaches the others. */
private const val LEAVE_TARGETS: Int = 4
