/** Tests answers that are cut off between two chunks, which the client library takes for complete ones. */
package pistachiopass.entry.booking

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.casesOf
import pistachiopass.model.Verdict

class ChunkBoundaryTest {
    @TestFactory
    fun `an answer cut off between two chunks may have run`(): List<DynamicTest> = casesOf(
        chunkEndsOf(CHUNKED_ANSWER).map { count ->
            Script("$count of ${CHUNKED_ANSWER.size} bytes, then closed", answer = CHUNKED_ANSWER.copyOf(count))
        },
    ) { script -> assertSentOnce(script, Verdict.MAY_HAVE_RUN) }
}
