/** The newest life of each instance that pledged to an owner or asked it for leases. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.peer.isNewerThan

/** Remembers lives; guarded by the table. */
internal class HolderLives {
    private val newest: HashMap<InstanceId, StartId> = HashMap()

    /** Takes note of a life and returns whether it is newer than the one known before. */
    fun note(life: InstanceLife): Boolean {
        val known = newest[life.instance]
        val isNewer = known == null || life.startId.isNewerThan(known)
        if (isNewer) newest[life.instance] = life.startId
        return isNewer
    }

    /** Forgets the instances that are not in [published]. */
    fun retain(published: Set<InstanceId>) {
        newest.keys.retainAll(published)
    }
}
