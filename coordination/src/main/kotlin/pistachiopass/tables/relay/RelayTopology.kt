/**
 * Which instances watch the platform (the readers) and which pass documents on to which.
 *
 * All of it is a function of the published instance list, with one exception: an instance watches in place of readers
 * whose heartbeats have stopped. If two instances disagree on that, the platform gets a few more calls.
 */
package pistachiopass.tables.relay

import pistachiopass.model.DataCentreId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.model.InstanceState
import pistachiopass.routing.rankedFor

/** Returns the readers of [dataCentre]: its first [count] live instances in the order of rendezvous hashing. */
public fun InstanceList.readersOf(dataCentre: DataCentreId, count: Int): List<InstanceId> =
    liveIn(dataCentre).ranked(dataCentre).take(count)

/** Returns whether [self] is a reader: fewer than [count] instances before it in the order are not silent. */
public fun InstanceList.isReader(self: RelayMember, count: Int, isSilent: (InstanceId) -> Boolean): Boolean {
    val members = liveIn(self.dataCentre)
    val ranked = members.ranked(self.dataCentre)
    return ranked.takeWhile { it != self.instance }.count { !isSilent(it) } < count
}

/** Returns the other instances of the data centre of [self], including leaving ones. */
public fun InstanceList.localPeersOf(self: RelayMember): List<InstanceId> =
    instances.filter { it.dataCentre == self.dataCentre && it.id != self.instance }.map(Instance::id)

/** Returns the readers of all other data centres, [count] for each. */
public fun InstanceList.remoteReadersOf(self: RelayMember, count: Int): List<InstanceId> =
    (instances.mapTo(LinkedHashSet()) { it.dataCentre } - self.dataCentre).flatMap { readersOf(it, count) }

/**
 * Returns [count] instances of other data centres with which [self] compares versions.
 *
 * They stay the same while the list does, so that there are few connections, and differ between instances, so that all
 * instances of the fleet are connected.
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
