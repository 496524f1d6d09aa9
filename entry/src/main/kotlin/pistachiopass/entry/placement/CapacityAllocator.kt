/** Allocation of endpoint capacity to requests. */
package pistachiopass.entry.placement

import com.github.michaelbull.result.Result
import pistachiopass.capacity.LeaseEnd
import pistachiopass.entry.http.Target
import pistachiopass.model.Endpoint
import pistachiopass.model.Failure
import pistachiopass.model.RequestId
import pistachiopass.routing.RequestMetadata

/** Finds endpoints with room for requests and keeps account of it. */
public interface CapacityAllocator {
    /** Returns room on an endpoint, at the latest by the target's deadline, or a failure with the verdict `not run`. */
    public suspend fun allocate(
        requestId: RequestId,
        metadata: RequestMetadata,
        target: Target,
    ): Result<Allocation, Failure>
}

/** Room on one endpoint that a request may use until [release]. */
public interface Allocation {
    /** The endpoint that has room. */
    public val endpoint: Endpoint

    /** The id under which the endpoint knows the request. */
    public val leaseId: RequestId

    /**
     * Returns whether the room is still held; asked immediately before the request is sent, since the process may have
     * been paused since the allocation.
     */
    public fun isValid(): Boolean

    /** Gives the room back; [ended] tells whether the endpoint is known to hold nothing for the request any more. */
    public suspend fun release(ended: Boolean)

    /** Gives the room back and tells more of how the request ended. */
    public suspend fun release(end: LeaseEnd): Unit = release(end.holdsNothing)
}
