/**
 * Who reads the platform and who passes documents to whom.
 *
 * All of it is a function of the published instance list. What heartbeats say decides one thing only: an instance reads
 * in place of readers that are silent. Two instances that disagree about it cost a few calls to the platform.
 */
package pistachiopass.tables.relay

import pistachiopass.model.DataCentreId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.model.InstanceState
import pistachiopass.routing.rankedFor

/** Returns the first [count] live instances of [dataCentre] in rendezvous order. */
public fun InstanceList.readersOf(dataCentre: DataCentreId, count: Int): List<InstanceId> =
    liveIn(dataCentre).ranked(dataCentre).take(count)

/** Returns whether [self] reads the platform, given which peers are silent. */
public fun InstanceList.isReader(self: RelayMember, count: Int, isSilent: (InstanceId) -> Boolean): Boolean {
    val members = liveIn(self.dataCentre)
    val ranked = members.ranked(self.dataCentre)
    return ranked.takeWhile { it != self.instance }.count { !isSilent(it) } < count
}

/** Returns the other instances of the data centre of [self], leaving ones too. */
public fun InstanceList.localPeersOf(self: RelayMember): List<InstanceId> =
    instances.filter { it.dataCentre == self.dataCentre && it.id != self.instance }.map(Instance::id)

/** Returns the readers of every data centre but that of [self]. */
public fun InstanceList.remoteReadersOf(self: RelayMember, count: Int): List<InstanceId> =
    (instances.mapTo(LinkedHashSet()) { it.dataCentre } - self.dataCentre).flatMap { readersOf(it, count) }

/**
 * Returns [count] instances of other data centres with which [self] compares versions.
 *
 * They are the same as long as the list is, so that connections stay few, and differ from instance to instance, so that
 * the fleet is connected.
 */
public fun InstanceList.remotePartnersOf(self: RelayMember, count: Int): List<InstanceId> =
    instances.filter { it.dataCentre != self.dataCentre }
        .map(Instance::id)
        .rankedFor("partners/${self.instance}") { it.value }
        .take(count)

private fun InstanceList.liveIn(dataCentre: DataCentreId): List<InstanceId> =
    instances.filter { it.dataCentre == dataCentre && it.state == InstanceState.LIVE }.map(Instance::id)

private fun List<InstanceId>.ranked(dataCentre: DataCentreId): List<InstanceId> =
    rankedFor("readers/$dataCentre") { it.value }
