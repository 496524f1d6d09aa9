/**
 * Number of instances of a fleet, estimated from what the instances of each data centre count.
 *
 * In a large fleet an instance knows all members of its own data centre within seconds of a start, but those of others
 * only later. So the counts are passed on beside the members. The highest count of the last minute holds, since the
 * number serves to divide limits that all instances share.
 */
package pistachiopass.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.DataCentreId

/** An instance of [dataCentre] counted [instances] there, [ageMillis] ago. */
@Serializable
public data class InstanceCount(
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("c") val instances: Int,
    @SerialName("a") val ageMillis: Long,
)

/** Holds the counts of all data centres. Confined to one thread. */
internal class FleetSize(private val nowMillis: () -> Long, private val holdMillis: Long) {
    private class Count(val instances: Int, val atMillis: Long)

    private val counts = HashMap<DataCentreId, Count>()

    /** Takes over [count] unless a higher one is held. */
    fun offer(count: InstanceCount) {
        val held = counts[count.dataCentre]
        val atMillis = nowMillis() - count.ageMillis
        val isExpired = held == null || nowMillis() - held.atMillis > holdMillis
        if (count.ageMillis <= holdMillis && (isExpired || count.instances >= held.instances)) {
            counts[count.dataCentre] = Count(count.instances, maxOf(atMillis, held?.atMillis ?: atMillis))
        }
    }

    /** Returns the counts to pass on. */
    fun counts(): List<InstanceCount> = counts
        .map { (dataCentre, count) -> InstanceCount(dataCentre, count.instances, nowMillis() - count.atMillis) }
        .filter { it.ageMillis <= holdMillis }

    /** Returns the number of instances of all data centres, of which [known] are members that this instance knows. */
    fun total(known: Map<DataCentreId, Int>): Int {
        val counted = counts().associate { it.dataCentre to it.instances }
        return (known.keys + counted.keys).sumOf { maxOf(known[it] ?: 0, counted[it] ?: 0) }
    }
}
