/** Builds the messages of the membership protocol. */
package pistachiopass.membership

import pistachiopass.model.DataCentreId

/** Builds messages of the instance [self], with what [records] and [fleetSize] hold. Confined to one thread. */
internal class MessageBuilder(
    var self: Member,
    private val records: MemberRecords,
    private val probes: PendingProbes,
    private val fleetSize: FleetSize,
    private val settings: MembershipSettings,
) {
    /** Number of instances, those included that only others know. */
    val instances: Int get() = fleetSize.total(counted())

    fun learn(counts: List<InstanceCount>): Unit = counts.forEach(fleetSize::offer)

    fun own(): List<MemberUpdate> = listOf(MemberUpdate(self))

    /** Returns a ping of [target], whose sequence number [onSequence] gets. */
    fun ping(target: MemberHost, onSequence: (Long) -> Unit): MembershipDatagram {
        val sequence = probes.nextSequence()
        onSequence(sequence)
        val updates = refutable(target) + records.updatesToSend(settings.updatesMax, target)
        return MembershipDatagram(target, Ping(sequence, self, updates, counts()))
    }

    /** Returns the answer to the ping [sequence] of [sender]; one that [isNew] is told more. */
    fun answer(sender: MemberHost, sequence: Long, isNew: Boolean): Ack {
        val count = if (isNew) settings.joinUpdatesMax else settings.updatesMax
        return Ack(sequence, own() + refutable(sender) + records.updatesToSend(count, sender), counts())
    }

    fun ack(sequence: Long): Ack = Ack(sequence, own(), counts())

    /** Returns what speaks against [host], so that it can refute it. */
    private fun refutable(host: MemberHost): List<MemberUpdate> =
        listOfNotNull(records[host]?.update?.takeIf { it.status != MemberStatus.ALIVE })

    private fun counts(): List<InstanceCount> {
        fleetSize.offer(InstanceCount(self.dataCentre, counted().getValue(self.dataCentre), ageMillis = 0))
        return fleetSize.counts()
    }

    /** Returns the numbers of known instances by data centre, this one included. */
    private fun counted(): Map<DataCentreId, Int> = records.countByDataCentre().toMutableMap().also {
        it.merge(self.dataCentre, 1, Int::plus)
    }
}
