/** Runs the few cases over real processes that CI keeps, and checks the table of cases and the page. */
package pistachiopass.proof.matrix

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import pistachiopass.proof.history.RequestAnswered
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MatrixTest {
    @ParameterizedTest
    @ValueSource(
        strings = [
            "between_chunks+instance_stop",
            "between_chunks+endpoint_leaving",
            "between_chunks+data_centre_out",
            "sent+instance_stop",
            "watching+instance_kill",
        ],
    )
    fun `a case of the matrix holds`(name: String) {
        val logs = Path.of(System.getProperty("workspace.root"), "proof", "target", "logs")
        val result = runBlocking { CaseRunner(logs).run(caseOf(name, SEED)) }
        assertEquals("", result.outcome().seen, "seed $SEED, logs in $logs")
        assertTrue(result.history.all<RequestAnswered>().isNotEmpty())
    }

    @Test
    fun `names and seeds lead back to their cases`() {
        (matrixCases(SEED) + pairCase(SEED)).forEach { assertEquals(it, caseOf(it.name, it.seed)) }
        assertEquals(pairCase(SEED), pairCase(SEED))
    }

    @Test
    fun `the page lists every case, also those that were not run`() {
        val failed = CaseOutcome(matrixCases(SEED).first(), "fails", "something")
        val rows = proofPageOf(listOf(failed)).lines().filter { "bin/proof --seed" in it }
        assertEquals(matrixCases(SEED).size, rows.size)
        assertEquals(rows.size - 1, rows.count { "| not run |" in it })
        assertEquals(1, rows.count { "| fails | something |" in it })
    }
}

private const val SEED: Long = 1
