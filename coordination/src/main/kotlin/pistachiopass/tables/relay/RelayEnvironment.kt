/** What one instance gives its relay: who it is, whom it hears, and its sources of time and chance. */
package pistachiopass.tables.relay

import pistachiopass.membership.Reachability
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId
import kotlin.random.Random
import kotlin.time.TimeSource

/** Names an instance and its data centre. */
public data class RelayMember(val instance: InstanceId, val dataCentre: DataCentreId)

/** Holds the surroundings of a relay. */
public class RelayEnvironment(
    public val self: RelayMember,
    /** What heartbeats say of the own data centre. */
    public val reachability: Reachability,
    /** Peers that are known without a list. */
    public val bootstrap: List<InstanceId> = emptyList(),
    public val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    public val random: Random = Random.Default,
)
