/** Checks every checker on right histories, which pass, and on wrong ones, which it alone catches. */
package pistachiopass.proof.check

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.TableVersion
import pistachiopass.model.Verdict
import pistachiopass.proof.history.ChunkReceived
import pistachiopass.proof.history.ConnectionBroken
import pistachiopass.proof.history.DataCentreChanged
import pistachiopass.proof.history.EndpointChanged
import pistachiopass.proof.history.EndpointWork
import pistachiopass.proof.history.History
import pistachiopass.proof.history.HistoryEvent
import pistachiopass.proof.history.LeaseHeld
import pistachiopass.proof.history.MemoryLimits
import pistachiopass.proof.history.MemorySampled
import pistachiopass.proof.history.RequestAnswered
import pistachiopass.proof.history.RequestRefused
import pistachiopass.proof.history.RequestRun
import pistachiopass.proof.history.RequestSent
import pistachiopass.proof.history.StopBegun
import pistachiopass.proof.history.TableInForce
import pistachiopass.proof.history.TablePublished
import kotlin.test.assertEquals

class CheckersTest {
    @TestFactory
    fun `right histories pass and wrong ones are caught`(): List<DynamicTest> = CASES.map { case ->
        DynamicTest.dynamicTest("${case.violated ?: "none"}: ${case.name}") {
            val violated = checkAll(History(case.events, case.endMillis)).map { it.property }
            assertEquals(listOfNotNull(case.violated), violated)
        }
    }

    @TestFactory
    fun `each property has a checker, a right history and a wrong one`(): List<DynamicTest> = Property.entries.map {
        DynamicTest.dynamicTest(it.name) {
            assertEquals(1, CHECKERS.count { checker -> checker.property == it })
            assertEquals(true, CASES.any { case -> case.violated == it })
            assertEquals(true, CASES.any { case -> case.about == it && case.violated == null })
        }
    }
}

private class Case(
    val about: Property,
    val name: String,
    val violated: Property?,
    val endMillis: Long?,
    val events: List<HistoryEvent>,
)

private val R1 = RequestId("r1")
private val R2 = RequestId("r2")
private val ENGINE = EndpointId("e1")
private val OTHER_ENGINE = EndpointId("e2")
private val ENTRY = InstanceId("a-1")
private val OTHER_ENTRY = InstanceId("a-2")
private val CENTRE = DataCentreId("a")
private val LIMITS = MemoryLimits(tokens = 1_000, coldTokens = 100, coldRequests = 2)

private fun sent(atMillis: Long, request: RequestId = R1, instance: InstanceId = ENTRY): RequestSent =
    RequestSent(atMillis, request, instance, deadlineMillis = atMillis + 10_000)

private fun chunks(request: RequestId, stream: String, vararg offsets: Long): List<HistoryEvent> =
    offsets.mapIndexed { place, offset -> ChunkReceived(100L + place, request, stream, offset) }

private fun run(request: RequestId, booking: String? = null, stream: String? = null, count: Int = 1): RequestRun =
    RequestRun(50, ENGINE, request, booking, stream, count)

private fun memory(
    atMillis: Long,
    peakTokens: Long = 0,
    cold: Pair<Long, Int> = 0L to 0,
    held: Set<RequestId> = emptySet(),
): MemorySampled = MemorySampled(atMillis, ENGINE, LIMITS, peakTokens, cold.first, cold.second, held)

private fun work(
    atMillis: Long,
    endpoint: EndpointId = ENGINE,
    sampledMillis: Long = atMillis + 100,
): EndpointWork = EndpointWork(
    atMillis,
    sampledMillis,
    endpoint,
    CENTRE,
    R1
)

private fun inForce(atMillis: Long, version: Long, startId: String = "s1", instance: InstanceId = ENTRY): TableInForce =
    TableInForce(atMillis, instance, StartId(startId), "routes", TableVersion(version))

private fun published(atMillis: Long, version: Long): TablePublished =
    TablePublished(atMillis, "routes", TableVersion(version))

private fun right(about: Property, name: String, vararg events: HistoryEvent, endMillis: Long? = null): Case =
    Case(about, name, null, endMillis, events.toList())

private fun wrong(about: Property, name: String, vararg events: HistoryEvent, endMillis: Long? = null): Case =
    Case(about, name, about, endMillis, events.toList())

private val CASES: List<Case> =
    requestCases() + answerCases() + runCases() +
        endpointCases() + dataCentreOutCases() + leavingCases() + controlCases()

private fun requestCases(): List<Case> = listOf(
    right(Property.ENDS_IN_TIME, "answered before the deadline", sent(0), RequestAnswered(9_999, R1)),
    right(Property.ENDS_IN_TIME, "refused at once", sent(0), RequestRefused(5, R1, Verdict.NOT_RUN)),
    right(Property.ENDS_IN_TIME, "still open before the deadline", sent(0), endMillis = 9_000),
    wrong(Property.ENDS_IN_TIME, "answered late", sent(0), RequestAnswered(12_000, R1)),
    wrong(Property.ENDS_IN_TIME, "refused late", sent(0), RequestRefused(12_000, R1, Verdict.MAY_HAVE_RUN)),
    wrong(Property.ENDS_IN_TIME, "never ended", sent(0), sent(1, R2), RequestAnswered(5, R2), endMillis = 20_000),
)

private fun answerCases(): List<Case> = listOf(
    right(
        Property.WHOLE_ANSWER,
        "all tokens in order",
        *chunks(R1, "s1", 0, 1, 2).toTypedArray(),
        run(R1, stream = "s1"),
        RequestAnswered(200, R1, tokens = 3),
    ),
    right(Property.WHOLE_ANSWER, "a whole plain answer", RequestAnswered(200, R1, answeredRequest = R1)),
    right(
        Property.WHOLE_ANSWER,
        "a part of an answer with an honest end",
        *chunks(R1, "s1", 0, 1).toTypedArray(),
        RequestRefused(200, R1, Verdict.MAY_HAVE_RUN),
    ),
    wrong(Property.WHOLE_ANSWER, "a gap", *chunks(R1, "s1", 0, 2).toTypedArray()),
    wrong(Property.WHOLE_ANSWER, "a doubled token", *chunks(R1, "s1", 0, 1, 1).toTypedArray()),
    wrong(Property.WHOLE_ANSWER, "tokens out of order", *chunks(R1, "s1", 1, 0).toTypedArray()),
    wrong(
        Property.WHOLE_ANSWER,
        "tokens of two streams",
        ChunkReceived(100, R1, "s1", 0),
        ChunkReceived(101, R1, "s2", 1),
    ),
    wrong(
        Property.WHOLE_ANSWER,
        "tokens of another request",
        *chunks(R1, "s1", 0).toTypedArray(),
        run(R2, stream = "s1")
    ),
    wrong(
        Property.WHOLE_ANSWER,
        "the end marker too early",
        *chunks(R1, "s1", 0, 1).toTypedArray(),
        RequestAnswered(200, R1, tokens = 3),
    ),
    wrong(Property.WHOLE_ANSWER, "the answer to another request", RequestAnswered(200, R1, answeredRequest = R2)),
)

private fun runCases(): List<Case> = listOf(
    right(Property.NOT_RUN_IS_TRUE, "refused and not run", RequestRefused(100, R1, Verdict.NOT_RUN), run(R2)),
    right(Property.NOT_RUN_IS_TRUE, "may have run and ran", run(R1), RequestRefused(100, R1, Verdict.MAY_HAVE_RUN)),
    wrong(Property.NOT_RUN_IS_TRUE, "refused although it ran", run(R1), RequestRefused(100, R1, Verdict.NOT_RUN)),
    right(Property.BOOKING_ONCE, "two bookings run once each", run(R1, "b1"), run(R2, "b2")),
    right(Property.BOOKING_ONCE, "an idempotent request run twice", run(R1), run(R1)),
    wrong(Property.BOOKING_ONCE, "one booking by two requests", run(R1, "b1"), run(R2, "b1")),
    wrong(Property.BOOKING_ONCE, "one request run twice", run(R1, "b1", count = 2)),
)

private fun endpointCases(): List<Case> = listOf(
    right(Property.MEMORY_RETURNS, "held while the request runs", memory(30_000, 900, held = setOf(R1)), sent(25_000)),
    right(
        Property.MEMORY_RETURNS,
        "freed after the end",
        RequestAnswered(5, R1),
        memory(9, 10, held = setOf(R1)),
        memory(20_000, 10)
    ),
    right(
        Property.MEMORY_RETURNS,
        "a lease that ended",
        RequestAnswered(5, R1),
        LeaseHeld(1, R1, ENGINE),
        LeaseHeld(6, R1, ENGINE, isEnd = true),
        endMillis = 60_000
    ),
    wrong(
        Property.MEMORY_RETURNS,
        "held long after the end",
        RequestAnswered(5, R1),
        memory(20_000, 10, held = setOf(R1))
    ),
    wrong(Property.MEMORY_RETURNS, "overrun", memory(5, 1_001)),
    wrong(
        Property.MEMORY_RETURNS,
        "a lease that never ends",
        RequestAnswered(5, R1),
        LeaseHeld(1, R1, ENGINE),
        endMillis = 60_000
    ),
    right(Property.COLD_LIMIT, "just what it can bear", memory(5, 100, cold = 100L to 2)),
    wrong(Property.COLD_LIMIT, "too many tokens", memory(5, 101, cold = 101L to 1)),
    wrong(Property.COLD_LIMIT, "too many requests", memory(5, 30, cold = 30L to 3)),
)

private fun dataCentreOutCases(): List<Case> = listOf(
    right(
        Property.DATA_CENTRE_OUT,
        "work before, shortly after and since the return",
        work(1),
        DataCentreChanged(10, CENTRE, isOut = true),
        work(3_000),
        DataCentreChanged(20_000, CENTRE, isOut = false),
        work(30_000)
    ),
    right(
        Property.DATA_CENTRE_OUT,
        "another data centre is out",
        DataCentreChanged(10, DataCentreId("b"), isOut = true),
        work(9_000)
    ),
    right(
        Property.DATA_CENTRE_OUT,
        "work sampled across its return",
        DataCentreChanged(10, CENTRE, isOut = true),
        DataCentreChanged(5_015, CENTRE, isOut = false),
        work(4_990, sampledMillis = 5_095)
    ),
    wrong(
        Property.DATA_CENTRE_OUT,
        "work after a few seconds",
        DataCentreChanged(10, CENTRE, isOut = true),
        work(3_011)
    ),
    wrong(
        Property.DATA_CENTRE_OUT,
        "work sampled just before its return",
        DataCentreChanged(10, CENTRE, isOut = true),
        work(4_900, sampledMillis = 5_014),
        DataCentreChanged(5_015, CENTRE, isOut = false)
    ),
)

private fun leavingCases(): List<Case> = listOf(
    right(
        Property.ENDPOINT_LEAVING,
        "work on it before and shortly after, on others later",
        work(1),
        EndpointChanged(10, ENGINE, isLeaving = true),
        work(3_000),
        work(9_000, OTHER_ENGINE)
    ),
    right(
        Property.ENDPOINT_LEAVING,
        "work since it is active again",
        EndpointChanged(10, ENGINE, isLeaving = true),
        EndpointChanged(5_000, ENGINE, isLeaving = false),
        work(9_000)
    ),
    right(
        Property.ENDPOINT_LEAVING,
        "work sampled across its return",
        EndpointChanged(10, ENGINE, isLeaving = true),
        EndpointChanged(5_015, ENGINE, isLeaving = false),
        work(4_990, sampledMillis = 5_095)
    ),
    wrong(
        Property.ENDPOINT_LEAVING,
        "work after a few seconds",
        EndpointChanged(10, ENGINE, isLeaving = true),
        work(3_011)
    ),
    wrong(
        Property.ENDPOINT_LEAVING,
        "work sampled just before its return",
        EndpointChanged(10, ENGINE, isLeaving = true),
        work(4_900, sampledMillis = 5_014),
        EndpointChanged(5_015, ENGINE, isLeaving = false)
    ),
)

private fun controlCases(): List<Case> = listOf(
    right(
        Property.GRACEFUL_STOP,
        "taken before and answered, sent after and refused",
        sent(0),
        StopBegun(10, ENTRY),
        RequestAnswered(500, R1),
        sent(20, R2),
        RequestRefused(21, R2, Verdict.NOT_RUN)
    ),
    right(
        Property.GRACEFUL_STOP,
        "broken at another instance",
        sent(0, R1, OTHER_ENTRY),
        StopBegun(10, ENTRY),
        ConnectionBroken(500, R1)
    ),
    right(Property.GRACEFUL_STOP, "failed before the stop", sent(0), ConnectionBroken(5, R1), StopBegun(10, ENTRY)),
    wrong(Property.GRACEFUL_STOP, "connection broken", sent(0), StopBegun(10, ENTRY), ConnectionBroken(500, R1)),
    wrong(
        Property.GRACEFUL_STOP,
        "failed as may have run",
        sent(0),
        StopBegun(10, ENTRY),
        RequestRefused(500, R1, Verdict.MAY_HAVE_RUN)
    ),
    right(
        Property.TABLES_IN_FORCE,
        "in force in time, also in the next life",
        inForce(5, 1),
        published(10, 2),
        inForce(17_000, 1),
        inForce(18_005, 2),
        inForce(19_000, 2, "s2")
    ),
    wrong(Property.TABLES_IN_FORCE, "not in force in time", published(10, 2), inForce(18_011, 1)),
    wrong(
        Property.TABLES_IN_FORCE,
        "late at one of two",
        published(10, 2),
        inForce(18_011, 2),
        inForce(18_011, 1, instance = OTHER_ENTRY)
    ),
    wrong(Property.TABLES_IN_FORCE, "reverted", inForce(5, 2), inForce(6, 1)),
    wrong(Property.TABLES_IN_FORCE, "reverted by a restart", inForce(5, 2), inForce(6, 1, "s2")),
)
