/**
 * The position of an instance among those that may hold a share of the limit of one endpoint.
 *
 * The limit has two parts. The home part is lent to instances of the endpoint's own data centre, the away part to
 * instances of one other data centre, the partner, chosen by rendezvous. An instance therefore competes only with
 * others of its own data centre, which it knows best, and a partition between data centres changes no share.
 */
package pistachiopass.limits

import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.routing.firstFor
import pistachiopass.routing.rankedFor

/** The parts of a limit, and the fraction of the limit that the holders of each have together. */
internal enum class LimitPart(val fraction: Double) {
    HOME(HOME_FRACTION),
    AWAY(AWAY_FRACTION),

    /** Nothing is lent to this instance. */
    NONE(0.0),
}

/** Most endpoints get requests from their own data centre only, and a window of 1.2 s leaves 0.58 a second. */
private const val HOME_FRACTION: Double = 0.7

/** Leaves a reserve of 0.18, of which 0.12 are used if two data centres take themselves for the partner. */
private const val AWAY_FRACTION: Double = 0.12

/** An endpoint with a limit, as seen by one instance, which is number [rank] of [placers] that may hold a share. */
public class LentEndpoint internal constructor(internal val part: LimitPart, internal val rank: Int, placers: Int) {
    internal val placers: Int = maxOf(placers, 1)
}

/**
 * Returns the position of [self] for the endpoint [id] of [dataCentre].
 *
 * [placers] are the instances of the data centre of [self] that place on the endpoint, those included that were lost
 * but are still remembered; without [self] among them, nothing is lent to it. [dataCentres] are those that have
 * endpoints of the service. They come from the published state, not from the membership, so that a partition does not
 * change the partner.
 */
public fun lentEndpointOf(
    id: EndpointId,
    dataCentre: DataCentreId,
    self: Member,
    placers: Collection<MemberHost>,
    dataCentres: Set<DataCentreId>,
): LentEndpoint {
    val rank = placers.toSet().rankedFor(id.value) { it.value }.indexOf(self.host)
    val part = when {
        rank < 0 -> LimitPart.NONE
        self.dataCentre == dataCentre -> LimitPart.HOME
        self.dataCentre == (dataCentres - dataCentre).firstFor(id.value) { it.value } -> LimitPart.AWAY
        else -> LimitPart.NONE
    }
    return LentEndpoint(part, maxOf(rank, 0), placers.size)
}
