/** Checks that the modules of the workspace can be used together. */
package pistachiopass.proof

import pistachiopass.model.TableVersion
import kotlin.test.Test
import kotlin.test.assertTrue

class WorkspaceTest {
    @Test
    fun `versions are ordered`() {
        assertTrue(TableVersion.NONE < TableVersion(1))
    }
}
