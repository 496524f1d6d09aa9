/** Configuration of the [FaultPlugin]. */
package pistachiopass.standins.fault

/** Tells the plugin which switches to obey and which proxy carries the connections. */
public class FaultPluginConfig {
    /** The switches of the stand-in. */
    public var switches: FaultSwitches = FaultSwitches()

    /** Returns the proxy, or null where there is none and connections cannot be harmed. */
    public var proxy: () -> TcpProxy? = { null }
}
