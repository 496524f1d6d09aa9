/** Compares the failure codes of docs/INTERFACE.md with the code. */
package pistachiopass.entry

import pistachiopass.model.FailureCode
import kotlin.test.Test
import kotlin.test.assertEquals

class InterfacePageTest {
    @Test
    fun `docs INTERFACE lists exactly the failure codes of the code`() {
        val listed = tableRows("docs/INTERFACE.md").map { it.split('|').map(String::trim) }
        val codes = listed.filter { it[2].toIntOrNull() != null }.map { it[1].trim('`') }
        assertEquals(FailureCode.entries.map { it.text }, codes)
    }
}
