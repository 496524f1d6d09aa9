/** Requests that an endpoint reports under leases that this instance's table did not grant. */
package pistachiopass.capacity

import pistachiopass.model.RequestId

/** Tracks the requests under leases of other owners, so that those whose holder is gone can be cancelled. */
internal class ForeignLeases(private val times: CapacityTimes) {
    private val seen: HashMap<RequestId, Seen> = HashMap()

    fun onReport(requests: List<HeldRequest>, nowMillis: Long) {
        val running = requests.filter { it.isRunning }
        seen.keys.retainAll(running.mapTo(HashSet()) { it.id })
        running.forEach { seen.getOrPut(it.id) { Seen(nowMillis, nowMillis) } }
    }

    /** Records that a holder still waits for the request. */
    fun renew(lease: RequestId, nowMillis: Long) {
        seen[lease]?.renewedAtMillis = nowMillis
    }

    /** Returns the requests whose lease is no longer renewed and whose deadline has certainly passed. */
    fun orphans(nowMillis: Long): List<RequestId> = seen.filter { (id, seen) ->
        val remainingMillis = id.leaseIdFieldsOrNull()?.remainingMillis
        remainingMillis != null &&
            nowMillis - seen.renewedAtMillis > times.leaseMillis &&
            nowMillis - seen.firstAtMillis > remainingMillis
    }.keys.toList()

    private class Seen(val firstAtMillis: Long, var renewedAtMillis: Long)
}
