/** Runs the few cases of the matrix over real processes that CI keeps. */
package pistachiopass.proof.matrix

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import pistachiopass.proof.history.RequestAnswered
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ProcessCasesTest {
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
}

private const val SEED: Long = 1
