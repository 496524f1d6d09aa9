/** What a stand-in does at the moment in which a fault is switched. */
package pistachiopass.standins.fault

/** Carries out faults that act at the moment of switching. */
public interface FaultActions {
    /** Carries out `kill`: ends the process at once, as the signal `KILL` does. */
    public fun kill(): Unit = Runtime.getRuntime().halt(KILLED_EXIT_CODE)

    /** Is called after each accepted setting. */
    public suspend fun onChange(setting: FaultSetting): Unit = Unit
}

/** The actions of a stand-in whose faults need none but `kill`. */
public object DefaultFaultActions : FaultActions

private const val KILLED_EXIT_CODE: Int = 137
