/** Run-time fault switches that every stand-in offers over HTTP. */
package pistachiopass.standins.fault

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.update
import kotlinx.serialization.Serializable

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
    private val active: MutableStateFlow<Map<String, FaultSetting>> = MutableStateFlow(emptyMap())

    /** Switches a fault on or off. */
    public fun set(setting: FaultSetting) {
        active.update { faults ->
            if (setting.on) faults + (setting.fault to setting) else faults - setting.fault
        }
    }

    /** Returns the setting of a fault that is on, or null. */
    public operator fun get(fault: String): FaultSetting? = active.value[fault]

    /**
     * Returns the setting and uses up one of its count.
     *
     * Returns null when the fault is off, its count is used up or [accepts] turns its setting down.
     */
    public fun takeOrNull(fault: String, accepts: (FaultSetting) -> Boolean = { true }): FaultSetting? {
        val before =
            active.getAndUpdate { faults ->
                val setting = faults[fault]?.takeIf(accepts)
                when {
                    setting == null -> faults
                    setting.count > 1 -> faults + (fault to setting.copy(count = setting.count - 1))
                    else -> faults - fault
                }
            }
        return before[fault]?.takeIf(accepts)
    }

    /** Returns as soon as the fault is off; at once when it is off already. */
    public suspend fun awaitOff(fault: String) {
        changesOf(fault).first { it == null }
    }

    /** Returns the present setting of a fault, null when it is off, and then each change of it. */
    public fun changesOf(fault: String): Flow<FaultSetting?> = active.map { it[fault] }.distinctUntilChanged()

    /** Returns all faults that are on, ordered by name. */
    public fun all(): List<FaultSetting> = active.value.values.sortedBy { it.fault }
}
