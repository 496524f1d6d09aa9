/** The client side of leases: requests them from the owners of endpoints and releases them. */
package pistachiopass.entry.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.capacity.HeldLease
import pistachiopass.capacity.HeldLeases
import pistachiopass.capacity.InstanceIncarnation
import pistachiopass.capacity.LEASE_RELEASE
import pistachiopass.capacity.LEASE_RELEASED
import pistachiopass.capacity.LEASE_REPLY
import pistachiopass.capacity.LEASE_REQUEST
import pistachiopass.capacity.LeaseEnd
import pistachiopass.capacity.LeaseRefusal
import pistachiopass.capacity.LeaseRelease
import pistachiopass.capacity.LeaseReply
import pistachiopass.capacity.LeaseRequest
import pistachiopass.capacity.LocalClock
import pistachiopass.model.InstanceId
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.call

/** Calls owners over [transport]; calls [leaseService] directly where this instance is the owner. */
internal class LeaseClient(
    private val transport: PeerTransport,
    private val leaseService: LeaseService,
    private val held: HeldLeases,
    private val clock: LocalClock,
) {
    private val self: InstanceIncarnation = InstanceIncarnation(transport.self.instance, transport.self.startId)

    /** Returns the lease that [owner] granted, or its refusal, which is null when the owner did not answer. */
    suspend fun requestLease(owner: InstanceId, request: LeaseRequest): Result<HeldLease, LeaseRefusal?> {
        val requestSentAtMillis = clock.nowMillis()
        val reply = if (owner == self.instance) leaseService.request(self, request) else call(owner, request)
        val grant = reply?.grant ?: return Err(reply?.refusal)
        return Ok(held.add(owner, request.endpoint, grant, requestSentAtMillis))
    }

    /** Releases a lease; a lost message is repeated a few times, and if all are lost, the lease expires. */
    fun release(scope: CoroutineScope, lease: HeldLease, end: LeaseEnd) {
        held.remove(lease)
        val release = LeaseRelease(lease.endpoint, lease.id, end)
        if (lease.owner == self.instance) {
            leaseService.release(release)
        } else {
            scope.launch { sendRelease(lease.owner, release) }
        }
    }

    private suspend fun call(owner: InstanceId, request: LeaseRequest): LeaseReply? {
        val timeoutMillis = request.waitMillis + CALL_TIMEOUT_MILLIS
        return transport.call(owner, LEASE_REQUEST.encode(request), LEASE_REPLY, timeoutMillis)
            .mapBoth({ it }, { null })
    }

    private suspend fun sendRelease(owner: InstanceId, release: LeaseRelease) {
        repeat(RELEASE_ATTEMPTS) {
            val outcome = transport.call(owner, LEASE_RELEASE.encode(release), LEASE_RELEASED, CALL_TIMEOUT_MILLIS)
            if (outcome.isOk) return
            delay(RELEASE_RETRY_DELAY_MILLIS)
        }
    }
}

private const val CALL_TIMEOUT_MILLIS: Long = 1_000
private const val RELEASE_ATTEMPTS: Int = 3
private const val RELEASE_RETRY_DELAY_MILLIS: Long = 500
