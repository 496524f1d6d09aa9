/** Checks with Lincheck that a lease table is linearizable under concurrent calls. */
package pistachiopass.capacity

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.WorkspaceId
import kotlin.test.Test
import kotlin.time.ComparableTimeMark
import kotlin.time.TestTimeSource
import kotlin.time.TimeSource

class LeaseTableConcurrencyTest {
    private val self = InstanceIncarnation(InstanceId("a"), StartId("1"))
    private val endpoint = Endpoint(EndpointId("e"), DataCentreId("d"), "", budgetTokens = 3, slots = 3)
    private val times = CapacityTimes(inFlightMillis = 0)
    private val table = leaseTableOf(self, times, LocalClock(FrozenTimeSource))

    init {
        val share = endpoint.budget
        table.configure(listOf(AccountConfig(endpoint, mapOf(self.instance to share), isOpen = true, isOwned = true)))
        val pledge = EndpointPledge(endpoint.id, share)
        table.onHeartbeat(self, CapacityHeartbeat(1, OwnerTime(self.startId, 0), listOf(pledge)))
        table.onReport(endpoint.id, EndpointReport(StartId("e"), false, 0, 0, emptyList(), takenAtMillis = 0))
    }

    @Operation
    fun request(): String {
        val needed = Capacity(tokens = 2, slots = 1)
        val request = LeaseRequest(RequestId("r"), endpoint.id, needed, WorkspaceId("w"), 2, remainingMillis = 1)
        return table.request(self, request).let { it.grant?.lease?.value ?: it.refusal.toString() }
    }

    @Operation
    fun release(): Unit =
        table.release(
            LeaseRelease(endpoint.id, LeaseIdFields(self.instance, "1", 0, 1, ALLOCATIONS).toLeaseId(), LeaseEnd.FREED)
        )

    @Operation
    fun leased(): Int = table.status().count

    @Test
    fun `the table is linearizable`() = ModelCheckingOptions()
        .iterations(ITERATIONS)
        .invocationsPerIteration(INVOCATIONS)
        .check(this::class)

    private companion object {
        val ALLOCATIONS = listOf(PledgeAllocation(InstanceId("a"), Capacity(tokens = 2, slots = 1)))
        const val ITERATIONS = 20
        const val INVOCATIONS = 500
    }
}

/** A clock that stands still, since the model checker requires deterministic operations. */
private object FrozenTimeSource : TimeSource.WithComparableMarks {
    private val source = TestTimeSource()

    override fun markNow(): ComparableTimeMark = source.markNow()
}
