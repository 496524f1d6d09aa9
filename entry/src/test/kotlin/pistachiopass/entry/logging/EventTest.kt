/** Compares the catalogue of events with docs/EVENTS.md. */
package pistachiopass.entry.logging

import pistachiopass.entry.tableRows
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EventTest {
    @Test
    fun `docs EVENTS lists exactly the events of the code`() {
        val expected = Event.entries.map { "| ${it.number} | `${it.text}` | ${it.level} | ${it.meaning} |" }
        assertEquals(expected.sorted().joinToString("\n"), tableRows("docs/EVENTS.md").joinToString("\n"))
    }

    @Test
    fun `event numbers are unique and within the range of the topics`() {
        assertEquals(Event.entries.size, Event.entries.map { it.number }.toSet().size)
        assertTrue(Event.entries.all { it.number in 1_000..8_999 })
    }
}
