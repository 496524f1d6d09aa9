/** Configuration of the [FaultPlugin]. */
package pistachiopass.standins.fault

/** Tells the plugin which switches to obey and which front carries the connections. */
public class FaultPluginConfig {
    /** The switches of the stand-in. */
    public var switches: FaultSwitches = FaultSwitches()

    /** Returns the front, or null where there is none and connections cannot be harmed. */
    public var front: () -> TcpFront? = { null }
}
