/** Run-time fault switches that every stand-in offers over HTTP. */
package pistachiopass.standins.fault

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap

/** Describes one fault as `POST /admin/faults` takes it. */
@Serializable
public data class FaultSetting(
    val fault: String,
    val on: Boolean = true,
    val millis: Long = 0,
    val count: Int = Int.MAX_VALUE,
    val afterBytes: Long = 0,
    val phase: String = "before",
)

/** Holds the faults that are on; safe for use by many coroutines. */
public class FaultSwitches {
    private val active: ConcurrentHashMap<String, FaultSetting> = ConcurrentHashMap()

    /** Switches a fault on or off. */
    public fun set(setting: FaultSetting) {
        if (setting.on) {
            active[setting.fault] = setting
        } else {
            active.remove(setting.fault)
        }
    }

    /** Returns the setting of a fault that is on, or null. */
    public operator fun get(fault: String): FaultSetting? = active[fault]

    /** Returns the setting and uses up one of its count, or null when the fault is off or its count is used up. */
    public fun takeOrNull(fault: String): FaultSetting? {
        var taken: FaultSetting? = null
        active.computeIfPresent(fault) { _, setting ->
            taken = setting
            if (setting.count > 1) setting.copy(count = setting.count - 1) else null
        }
        return taken
    }

    /** Returns all faults that are on. */
    public fun all(): List<FaultSetting> = active.values.sortedBy { it.fault }
}
