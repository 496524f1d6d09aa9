/** Checks keys and the ledger: its states, its limits of keys, bytes and age, and its linearizability. */
package pistachiopass.booking

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.model.DataCentreId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.model.Verdict
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class BookingLedgerTest {
    private val clock = TestTimeSource()
    private val ledger = bookingLedgerOf(SELF, LIMITS, clock)

    @TestFactory
    fun `keys that the fleet did not issue are refused`(): List<DynamicTest> {
        val codec = bookingKeyCodecOf(ByteArray(32) { 1 })
        val key = BookingKey(SELF, sequence = 7, expiresAtMillis = 60_000)
        val text = codec.format(key)
        assertEquals(key, codec.parse(text).get())
        return listOf(
            "" to FailureCode.BAD_REQUEST,
            "my-own-key" to FailureCode.BAD_REQUEST,
            text.dropLast(1) to FailureCode.NOT_AUTHORIZED,
            text.replace("~7~", "~8~") to FailureCode.NOT_AUTHORIZED,
            text.replace("~7~", "~x~") to FailureCode.BAD_REQUEST,
            text.replace("~60000~", "~90000~") to FailureCode.NOT_AUTHORIZED,
            text.replace("b1~", "b2~") to FailureCode.BAD_REQUEST,
            bookingKeyCodecOf(ByteArray(32) { 2 }).format(key) to FailureCode.NOT_AUTHORIZED,
        ).map { (wrong, code) ->
            DynamicTest.dynamicTest("'$wrong' is $code") {
                assertEquals(code to Verdict.NOT_RUN, codec.parse(wrong).getError()?.let { it.code to it.verdict })
            }
        }
    }

    @Test
    fun `each outcome is recorded and returned to later requests`() {
        for (outcome in listOf(answerOf(8), failedAs(Verdict.NOT_RUN), failedAs(Verdict.MAY_HAVE_RUN))) {
            val key = issued()
            assertIs<Claim.Run>(ledger.claim(key, DIGEST))
            assertIs<Claim.Wait>(ledger.claim(key, DIGEST))
            ledger.finish(key, outcome)
            assertEquals(outcome, assertIs<Claim.Recorded>(ledger.claim(key, DIGEST)).outcome)
            assertEquals(Claim.Refused.REUSED, ledger.claim(key, PayloadDigest("other")))
        }
        assertEquals(Claim.Refused.NOT_HERE, ledger.claim(BookingKey(OTHER, 1, 0), DIGEST))
    }

    @Test
    fun `keys and outcomes are removed only when they expire`() {
        val unused = issued()
        clock += 600.milliseconds
        val used = issued()
        ledger.claim(used, DIGEST)
        clock += 401.milliseconds
        assertEquals(Claim.Refused.FORGOTTEN, ledger.claim(unused, DIGEST))
        clock += 10_000.milliseconds
        ledger.finish(used, answerOf(8))
        clock += 999.milliseconds
        assertIs<Claim.Recorded>(ledger.claim(used, DIGEST))
        clock += 2.milliseconds
        assertEquals(Claim.Refused.FORGOTTEN, ledger.claim(used, DIGEST))
        assertEquals(0, ledger.heldBytes)
    }

    @Test
    fun `a full ledger issues no key and removes none`() {
        val keys = List(LIMITS.keys) { issued() }
        assertEquals(IssueRefusal.FULL, ledger.issue().getError())
        assertTrue(keys.all { ledger.claim(it, DIGEST) is Claim.Run })
        clock += 1_001.milliseconds
        assertEquals(IssueRefusal.FULL, ledger.issue().getError())
        ledger.finish(keys.first(), failedAs(Verdict.MAY_HAVE_RUN))
        clock += 1_001.milliseconds
        issued()
    }

    @Test
    fun `a booking without memory for its outcome is not run, now or later`() {
        val small = bookingLedgerOf(SELF, LIMITS.copy(bytes = 2 * ENTRY_BYTES, recordBytes = 4_000), clock)
        val key = checkNotNull(small.issue().get())
        val outcome = assertIs<Claim.Recorded>(small.claim(key, DIGEST)).outcome
        assertEquals(Verdict.NOT_RUN, outcome.verdict)
        assertEquals(outcome, assertIs<Claim.Recorded>(small.claim(key, DIGEST)).outcome)
    }

    @Test
    fun `an answer above the size limit is recorded as a failure that ran`() {
        val key = issued()
        ledger.claim(key, DIGEST)
        ledger.finish(key, answerOf(LIMITS.recordBytes + 1))
        val outcome = assertIs<BookingOutcome.Failed>(assertIs<Claim.Recorded>(ledger.claim(key, DIGEST)).outcome)
        assertEquals(Verdict.RAN, outcome.failure.verdict)
    }

    @Test
    fun `a sealed ledger starts no run and its keys can be used at the ledger that adopts them`() {
        val (unused, running, answered) = List(3) { issued() }
        ledger.claim(running, DIGEST)
        ledger.claim(answered, DIGEST)
        ledger.finish(answered, answerOf(8))
        ledger.seal()
        assertEquals(IssueRefusal.SEALED, ledger.issue().getError())
        assertEquals(Claim.Refused.SEALED, ledger.claim(unused, DIGEST))
        assertIs<Claim.Recorded>(ledger.claim(answered, DIGEST))

        val successor = bookingLedgerOf(OTHER, LIMITS, clock)
        val receiver = LedgerReceiver(successor)
        val export = ledger.export()
        val parts = export.keys.mapIndexed { i, key -> MoveCall(SELF, i, 3, LedgerExport(export.issuers, listOf(key))) }
        val states = (parts.take(1) + parts + parts).map(receiver::receive)
        assertEquals(List(3) { MoveState.INCOMPLETE } + List(4) { MoveState.ADOPTED }, states)
        assertIs<Claim.Run>(successor.claim(unused, DIGEST))
        assertIs<Claim.Recorded>(successor.claim(answered, DIGEST))
        val outcome = assertIs<Claim.Recorded>(successor.claim(running, DIGEST)).outcome
        assertEquals(Verdict.MAY_HAVE_RUN, outcome.verdict)
    }

    @Test
    fun `a refused move stays refused`() {
        issued()
        ledger.seal()
        val full = bookingLedgerOf(OTHER, LIMITS.copy(keys = 0), clock)
        val receiver = LedgerReceiver(full)
        val move = MoveCall(SELF, part = 0, parts = 1, ledger.export())
        assertEquals(MoveState.REFUSED, receiver.receive(move))
        assertEquals(MoveState.REFUSED, receiver.receive(move))
        assertEquals(0, full.keyCount)
    }

    @Test
    fun `concurrent requests run a key once and see one outcome`() {
        ModelCheckingOptions()
            .iterations(5)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3)
            .sequentialSpecification(SequentialLedger::class.java)
            .check(ConcurrentLedger::class)
    }

    private fun issued(): BookingKey = checkNotNull(ledger.issue().get())

    private fun answerOf(bytes: Int): BookingOutcome = BookingOutcome.Response(200, emptyList(), ByteArray(bytes))

    private fun failedAs(verdict: Verdict): BookingOutcome =
        BookingOutcome.Failed(Failure(FailureCode.ENDPOINT_FAILED, verdict, "test"))
}

/** Operations on the ledger; their results must be possible in some order with [SequentialLedger]. */
class ConcurrentLedger {
    private val ledger = bookingLedgerOf(SELF, LIMITS, TestTimeSource())
    private val key = checkNotNull(ledger.issue().get())

    @Operation
    fun claim(): String = when (val claim = ledger.claim(key, DIGEST)) {
        is Claim.Run -> "run"
        is Claim.Wait -> "wait"
        is Claim.Recorded -> "answer ${(claim.outcome as BookingOutcome.Response).status}"
        is Claim.Refused -> claim.name
    }

    @Operation
    fun finish(answer: Int): Boolean = try {
        ledger.finish(key, BookingOutcome.Response(answer, emptyList(), ByteArray(0)))
        true
    } catch (_: IllegalStateException) {
        false
    }

    @Operation
    fun issue(): Boolean = ledger.issue().isOk

    @Operation
    fun seal() = ledger.seal()
}

/** The sequential specification of [ConcurrentLedger]. */
class SequentialLedger {
    private var state = KeyState.ISSUED
    private var answer = 0
    private var keys = 1
    private var isSealed = false

    fun claim(): String = when (state) {
        KeyState.ENDED -> "answer $answer"
        KeyState.RUNNING -> "wait"
        KeyState.ISSUED -> if (isSealed) "SEALED" else "run".also { state = KeyState.RUNNING }
    }

    fun finish(answer: Int): Boolean {
        if (state != KeyState.RUNNING) return false
        state = KeyState.ENDED
        this.answer = answer
        return true
    }

    fun issue(): Boolean = (!isSealed && keys < LIMITS.keys).also { if (it) keys++ }

    fun seal() {
        isSealed = true
    }
}

private val SELF = Incarnation(InstanceId("i1"), DataCentreId("dc1"), StartId("s1"))
private val OTHER = Incarnation(InstanceId("i2"), DataCentreId("dc1"), StartId("s2"))
private val DIGEST = PayloadDigest("digest")
private val LIMITS = LedgerLimits(keys = 4, bytes = 100_000, recordBytes = 1_000, keyMillis = 1_000)
