/** What asking an instance for its status came to. */
package pistachiopass.ctl

import kotlinx.serialization.Serializable
import pistachiopass.status.InstanceStatus

/** Holds the answer of one instance: its status, or the reason why there is none. */
@Serializable
internal data class StatusResult(val address: String, val status: InstanceStatus? = null, val failure: String? = null)
