/** The newest incarnation of each instance that sent pledges or lease requests to a lease table. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.peer.isNewerThan

/** Keeps the newest incarnation of each instance; guarded by the lock of the lease table. */
internal class HolderIncarnations {
    private val newest: HashMap<InstanceId, StartId> = HashMap()

    /** Records [incarnation] if it is newer than the known one of its instance, or the first; returns whether it is. */
    fun recordIfNewer(incarnation: InstanceIncarnation): Boolean {
        val known = newest[incarnation.instance]
        val isNewer = known == null || incarnation.startId.isNewerThan(known)
        if (isNewer) newest[incarnation.instance] = incarnation.startId
        return isNewer
    }

    /** Removes the instances that are not in [published]. */
    fun retain(published: Set<InstanceId>) {
        newest.keys.retainAll(published)
    }
}
