/** Tests of shares, of lease ids and of single decisions of a lease table. */
package pistachiopass.capacity

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceState
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.WorkspaceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class LeaseTableTest {
    private val source = TestTimeSource()
    private val table = leaseTableOf(OWNER, TIMES, LocalClock(source))
    private var takenAtMillis = 0L

    @ParameterizedTest
    @CsvSource("1", "2", "3", "7", "8", "26")
    fun `shares add up to the budget and the owner is in the data centre of the endpoint`(count: Int) {
        val others = List(3) { Instance(InstanceId("o$it"), DataCentreId("other"), "", "") }
        val leaving = Instance(InstanceId("l"), DataCentreId("d"), "", "", InstanceState.LEAVING)
        val own = List(count) { Instance(InstanceId("i$it"), DataCentreId("d"), "", "") }
        val shares = (others + leaving + own).sharesOf(ENDPOINT)
        assertEquals(own.mapTo(HashSet()) { it.id }, shares.keys)
        assertEquals(ENDPOINT.budget.warm, shares.values.map { it.warm }.reduce(Capacity::plus))
        assertEquals(ENDPOINT.budget.cold, shares.values.map { it.cold }.reduce(Capacity::plus))
        assertEquals(true, (others + own).ownerOrNull(ENDPOINT) in shares.keys)
        assertEquals(others.mapTo(HashSet()) { it.id }, (others + leaving).sharesOf(ENDPOINT).keys)
    }

    @Test
    fun `a lease id decodes to its fields and other ids are rejected`() {
        val allocations = listOf(
            PledgeAllocation(InstanceId("a.b_c-1"), Capacity(12_345, 1)),
            PledgeAllocation(InstanceId("b"), Capacity(0, 2)),
        )
        val idFields = LeaseIdFields(InstanceId("i1"), "00ffaa", 77, 60_000, allocations)
        assertEquals(idFields, idFields.toLeaseId().leaseIdFieldsOrNull())
        val random = Random(SEED)
        for (text in listOf("", "r-81", "a:b:c:d", "a:b:1:2:x@1", "a:b:1:2:x@1@-1", "a:b:1:2:x@1@1:", "::::@@")) {
            assertNull(RequestId(text).leaseIdFieldsOrNull(), text)
        }
        val id = idFields.toLeaseId().value
        repeat(
            10_000
        ) { id.toCharArray().apply { shuffle(random) }.concatToString().let { RequestId(it).leaseIdFieldsOrNull() } }
    }

    /** A pledge becomes usable with a load report that was taken at least 500 ms after the pledge arrived. */
    @ParameterizedTest
    @CsvSource(
        "1000, 1, 0, false,",
        "1001, 1, 0, false, TOO_LARGE",
        "1000, 9, 0, false, TOO_LARGE",
        "500, 1, 500, false,",
        "501, 1, 500, false, FULL",
        "100, 1, 0, true,",
        "101, 1, 0, true, COLD_FULL",
        "100, 3, 0, true, COLD_FULL",
    )
    fun `a lease must fit the budget`(
        tokens: Long,
        slots: Int,
        usedTokens: Long,
        cold: Boolean,
        refusal: LeaseRefusal?,
    ) {
        configure()
        pledge(PEER, OWNER)
        step(600)
        report(usedTokens, cold)
        assertEquals(refusal, requestLease(tokens, slots).refusal)
    }

    /**
     * Cases: 0 no load report, 1 report too soon after the pledges, 2 nothing missing, 3 pledges that expire too soon,
     * 4 account closed, 5 no account.
     */
    @ParameterizedTest
    @CsvSource("0, NO_REPORT", "1, PLEDGES_SHORT", "2,", "3, PLEDGES_SHORT", "4, CLOSED", "5, NOT_OWNER")
    fun `no lease is granted without usable pledges and a load report`(case: Int, refusal: LeaseRefusal?) {
        configure(isOpen = case != 4)
        pledge(PEER, OWNER)
        step(if (case == 1) 400 else 600)
        if (case != 0) report()
        if (case == 3) step(TIMES.pledgeMillis - 600 - TIMES.minSendWindowMillis).also { report() }
        if (case == 5) table.configure(emptyList())
        assertEquals(refusal, requestLease(1_000).refusal)
    }

    @ParameterizedTest
    @CsvSource(
        "COMPLETED, 0,",
        "FREED, 0,",
        "UNCONFIRMED, 0, FULL",
        "UNCONFIRMED, 1, FULL",
        "UNCONFIRMED, 2,",
        "FAILED, 0, COLD_FULL",
    )
    fun `a lease counts until the endpoint is known to hold nothing`(
        end: LeaseEnd,
        reports: Int,
        refusal: LeaseRefusal?,
    ) {
        configure()
        pledge(PEER, OWNER)
        step(600)
        report()
        val lease = checkNotNull(requestLease(1_000).grant).lease
        assertEquals(LeaseRefusal.FULL, requestLease(1).refusal)
        table.release(LeaseRelease(ENDPOINT.id, lease, end))
        repeat(reports) {
            step(600)
            pledge(PEER, OWNER)
            report(completedTokens = it + 1L)
        }
        assertEquals(refusal, requestLease(1_000).refusal)
    }

    @Test
    fun `a lease of an earlier owner counts against the pledges that its id names`() {
        configure()
        pledge(PEER, OWNER)
        step(600)
        val foreign = LeaseIdFields(
            InstanceId("old"),
            "0000",
            1,
            60_000,
            listOf(PledgeAllocation(PEER.instance, Capacity(300, 1))),
        )
        report(usedTokens = 10, requests = listOf(HeldRequest(foreign.toLeaseId(), tokens = 10)))
        assertEquals(LeaseRefusal.FULL, requestLease(701).refusal)
        assertEquals(setOf(OWNER.instance, PEER.instance), allocationsOf(requestLease(700)).map { it.pledger }.toSet())
    }

    @Test
    fun `a request of a restarted holder is cancelled, which ends its lease`() {
        configure()
        pledge(PEER, OWNER)
        step(600)
        report()
        val lease = checkNotNull(requestLease(1_000, holder = PEER).grant).lease
        assertEquals(emptyList(), table.sweep())
        table.onHeartbeat(InstanceIncarnation(PEER.instance, StartId("2")), CapacityHeartbeat(sequence = 1))
        assertEquals(emptyList(), table.sweep(), "the request may still be on its way")
        step(TIMES.sendWindowMillis + TIMES.inFlightMillis)
        assertEquals(listOf(RunningLease(ENDPOINT.id, lease)), table.sweep())
        table.onCancelled(ENDPOINT.id, lease, sentAtMillis = takenAtMillis)
        assertEquals(0, table.status().count)
    }

    private fun configure(isOpen: Boolean = true) {
        val list = listOf(OWNER, PEER).map { Instance(it.instance, DataCentreId("d"), "", "") }
        table.configure(listOf(AccountConfig(ENDPOINT, list.sharesOf(ENDPOINT), isOpen, isOwned = true)))
    }

    private fun pledge(vararg from: InstanceIncarnation) = from.forEach { incarnation ->
        val share = listOf(OWNER, PEER).map { Instance(it.instance, DataCentreId("d"), "", "") }
            .sharesOf(ENDPOINT).getValue(incarnation.instance)
        val echoed = OwnerTime(OWNER.startId, takenAtMillis)
        table.onHeartbeat(
            incarnation,
            CapacityHeartbeat(takenAtMillis, echoed, listOf(EndpointPledge(ENDPOINT.id, share))),
        )
    }

    private fun step(millis: Long) {
        source += millis.milliseconds
        takenAtMillis += millis
    }

    private fun report(
        usedTokens: Long = 0,
        cold: Boolean = false,
        completedTokens: Long = 0,
        requests: List<HeldRequest> = emptyList(),
    ) = table.onReport(
        ENDPOINT.id,
        EndpointReport(StartId("e"), cold, usedTokens, completedTokens, requests, takenAtMillis),
    )

    private fun requestLease(tokens: Long, slots: Int = 1, holder: InstanceIncarnation = OWNER) = table.request(
        holder,
        LeaseRequest(RequestId("r"), ENDPOINT.id, Capacity(tokens, slots), WorkspaceId("w"), tokens, 60_000),
    )

    private fun allocationsOf(reply: LeaseReply) =
        checkNotNull(checkNotNull(reply.grant).lease.leaseIdFieldsOrNull()).allocations
}

private val OWNER = InstanceIncarnation(InstanceId("a"), StartId("1"))
private val PEER = InstanceIncarnation(InstanceId("b"), StartId("1"))
private val TIMES = CapacityTimes()
private val ENDPOINT = Endpoint(
    EndpointId("e1"),
    DataCentreId("d"),
    "127.0.0.1:1",
    budgetTokens = 1_000,
    slots = 8,
    coldBudgetTokens = 100,
    coldSlots = 2,
)
private const val SEED = 4_711
