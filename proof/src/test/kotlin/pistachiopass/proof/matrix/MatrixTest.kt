/** Checks the table of cases and the page of results. */
package pistachiopass.proof.matrix

import kotlin.test.Test
import kotlin.test.assertEquals

class MatrixTest {
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
