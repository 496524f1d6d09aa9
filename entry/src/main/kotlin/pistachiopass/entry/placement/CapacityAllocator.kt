/** Allocation of endpoint capacity to requests. */
package pistachiopass.entry.placement

import com.github.michaelbull.result.Result
import pistachiopass.capacity.LeaseEnd
import pistachiopass.entry.http.Target
import pistachiopass.model.Endpoint
import pistachiopass.model.Failure
import pistachiopass.model.RequestId
import pistachiopass.routing.RequestMetadata

/** Finds endpoints with free capacity for requests and reserves it. */
public interface CapacityAllocator {
    /** Reserves capacity on an endpoint by the target's deadline, or returns a failure with the verdict `not run`. */
    public suspend fun allocate(
        requestId: RequestId,
        metadata: RequestMetadata,
        target: Target
    ): Result<Allocation, Failure>
}

/** Capacity on one endpoint that is reserved for a request until [release]. */
public interface Allocation {
    /** The endpoint on which the capacity is reserved. */
    public val endpoint: Endpoint

    /** The id by which the endpoint identifies the request. */
    public val leaseId: RequestId

    /**
     * Returns whether the capacity is still reserved; call this immediately before the request is sent, since the
     * process may have been paused since the allocation.
     */
    public fun isValid(): Boolean

    /** Releases the capacity; [holdsNothing] tells whether the endpoint is known to hold nothing for the request. */
    public suspend fun release(holdsNothing: Boolean)

    /** Releases the capacity; [end] tells how the request ended. */
    public suspend fun release(end: LeaseEnd): Unit = release(end.holdsNothing)
}
