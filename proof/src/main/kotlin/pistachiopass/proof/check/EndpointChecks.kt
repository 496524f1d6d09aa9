/** Checks of the work and memory of endpoints. */
package pistachiopass.proof.check

import pistachiopass.model.RequestId
import pistachiopass.proof.history.DataCentreChanged
import pistachiopass.proof.history.EndpointChanged
import pistachiopass.proof.history.EndpointWork
import pistachiopass.proof.history.History
import pistachiopass.proof.history.LeaseHeld
import pistachiopass.proof.history.MemorySampled

/** Finds engines that were overrun or hold a request long after its end, and leases that never ended. */
internal fun findLostMemory(history: History): List<Finding> {
    val samples = history.all<MemorySampled>()
    val overrun = samples.filter { it.peakTokens > it.limits.tokens }.distinctBy { it.endpoint }.map {
        Finding(it.atMillis, "${it.endpoint} held ${it.peakTokens} tokens of ${it.limits.tokens}")
    }
    return overrun + findHeldRequests(history, samples) + findOpenLeases(history)
}

private fun findHeldRequests(history: History, samples: List<MemorySampled>): List<Finding> {
    val ends = history.requestEnds()
    val lastSamples = samples.associateBy { it.endpoint }.values
    return lastSamples.flatMap { sample ->
        sample.heldRequests.filter { it.isLate(ends, sample.atMillis) }.map {
            Finding(sample.atMillis, "${sample.endpoint} still holds $it")
        }
    }
}

private fun findOpenLeases(history: History): List<Finding> {
    val ends = history.requestEnds()
    val last = history.all<LeaseHeld>().associateBy { it.lease to it.endpoint }.values
    return last.filter { !it.isEnd && it.lease.isLate(ends, history.endMillis) }.map {
        Finding(history.endMillis, "the lease of ${it.lease} on ${it.endpoint} is still held")
    }
}

private fun RequestId.isLate(ends: Map<RequestId, Long>, nowMillis: Long): Boolean =
    ends[this]?.let { nowMillis - it > MEMORY_RETURN_MILLIS } ?: false

/** Finds engines that got more in a cold start than they can bear. */
internal fun findColdOverload(history: History): List<Finding> =
    history.all<MemorySampled>()
        .filter {
            it.peakColdTokens > it.limits.coldTokens || it.peakColdRequests > it.limits.coldRequests
        }.distinctBy { it.endpoint }
        .map {
            val held = "${it.peakColdRequests} requests of ${it.peakColdTokens} tokens"
            val limits = "${it.limits.coldRequests} of ${it.limits.coldTokens}"
            Finding(it.atMillis, "${it.endpoint} held $held during a cold start that bears $limits")
        }

/** Finds new work in a data centre that has been out for more than a few seconds. */
internal fun findWorkInDataCentreOut(history: History): List<Finding> {
    val changes = history.all<DataCentreChanged>()
    return history.all<EndpointWork>().mapNotNull { work ->
        val last = changes.lastOrNull { it.dataCentre == work.dataCentre && it.atMillis <= work.sampledMillis }
        if (last == null || !last.isOut) return@mapNotNull null
        work.findingAfter(last.atMillis, "its data centre ${work.dataCentre} was taken out")
    }
}

/** Finds new work on an endpoint that has been leaving for more than a few seconds. */
internal fun findWorkOnLeaving(history: History): List<Finding> {
    val changes = history.all<EndpointChanged>()
    return history.all<EndpointWork>().mapNotNull { work ->
        val last = changes.lastOrNull { it.endpoint == work.endpoint && it.atMillis <= work.sampledMillis }
        if (last == null || !last.isLeaving) return@mapNotNull null
        work.findingAfter(last.atMillis, "it began to leave")
    }
}

/** The work may have come at any time of its sample, so it counts from the sample's start, and also after its end. */
private fun EndpointWork.findingAfter(changeMillis: Long, change: String): Finding? {
    val lateMillis = atMillis - changeMillis
    val latestMillis = sampledMillis - changeMillis
    return Finding(atMillis, "$endpoint got $request $lateMillis to $latestMillis ms after $change")
        .takeIf { lateMillis > NO_NEW_WORK_MILLIS }
}

/** The few seconds after which there is no new work. */
public const val NO_NEW_WORK_MILLIS: Long = 3_000

/** Time after the end of a request by which its memory is free: cancel, lease expiry and retention of the stream. */
public const val MEMORY_RETURN_MILLIS: Long = 10_000
