/** What an instance provides for its relay: its identity, the reachability of peers, a clock and random numbers. */
package pistachiopass.tables.relay

import pistachiopass.membership.Reachability
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId
import kotlin.random.Random
import kotlin.time.TimeSource

/** An instance and its data centre. */
public data class RelayMember(val instance: InstanceId, val dataCentre: DataCentreId)

/** The dependencies of a relay. */
public class RelayEnvironment(
    public val self: RelayMember,
    /** Reachability of the instances of the own data centre. */
    public val reachability: Reachability,
    /** Peers from the settings, known before any instance list. */
    public val bootstrap: List<InstanceId> = emptyList(),
    public val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    public val random: Random = Random.Default,
)
