/** The newest incarnation of each instance that pledged to an owner or asked it for leases. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.peer.isNewerThan

/** Remembers incarnations; guarded by the table. */
internal class HolderIncarnations {
    private val newest: HashMap<InstanceId, StartId> = HashMap()

    /** Takes note of a incarnation and returns whether it is newer than the one known before. */
    fun note(incarnation: InstanceIncarnation): Boolean {
        val known = newest[incarnation.instance]
        val isNewer = known == null || incarnation.startId.isNewerThan(known)
        if (isNewer) newest[incarnation.instance] = incarnation.startId
        return isNewer
    }

    /** Forgets the instances that are not in [published]. */
    fun retain(published: Set<InstanceId>) {
        newest.keys.retainAll(published)
    }
}
