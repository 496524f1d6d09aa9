/** Requests that an endpoint reports under leases of other owners, earlier or elsewhere. */
package pistachiopass.capacity

import pistachiopass.model.RequestId

/** Follows them, so that those whose holder is gone are cancelled in the end. */
internal class ForeignLeases(private val times: CapacityTimes) {
    private val seen: HashMap<RequestId, Seen> = HashMap()

    /** Takes note of the requests of a report. */
    fun onReport(requests: List<HeldRequest>, nowMillis: Long) {
        val running = requests.filter { it.isRunning }
        seen.keys.retainAll(running.mapTo(HashSet()) { it.id })
        running.forEach { seen.getOrPut(it.id) { Seen(nowMillis, nowMillis) } }
    }

    /** Takes note that a holder still waits for the request. */
    fun renew(lease: RequestId, nowMillis: Long) {
        seen[lease]?.renewedAtMillis = nowMillis
    }

    /** Returns the requests that nobody renews and whose deadline has passed for certain. */
    fun orphans(nowMillis: Long): List<RequestId> = seen.filter { (id, seen) ->
        val remainingMillis = id.leaseIdFieldsOrNull()?.remainingMillis
        remainingMillis != null &&
            nowMillis - seen.renewedAtMillis > times.leaseMillis &&
            nowMillis - seen.firstAtMillis > remainingMillis
    }.keys.toList()

    private class Seen(val firstAtMillis: Long, var renewedAtMillis: Long)
}
