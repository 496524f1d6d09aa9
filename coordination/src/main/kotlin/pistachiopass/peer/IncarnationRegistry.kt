/**
 * The incarnations of instances: their start ids, and the newest one seen of each instance.
 *
 * An incarnation is one run of an instance's process. Its start id is the wall-clock time of the start followed by
 * random digits. The time serves only to choose the newer of two incarnations of one instance; start ids of different
 * instances are never compared.
 */
package pistachiopass.peer

import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import kotlin.random.Random

/** Returns the start id of a process that starts at [wallClockMillis]. */
public fun startIdOf(wallClockMillis: Long, random: Random): StartId {
    require(wallClockMillis >= 0) { "wallClockMillis is negative: $wallClockMillis" }
    return StartId("${hexOf(wallClockMillis)}-${hexOf(random.nextLong())}")
}

/** Returns whether this start id has the form of [startIdOf], which [isNewerThan] needs. */
public fun StartId.isWellFormed(): Boolean = START_ID_FORM.matches(value)

/** Returns whether this incarnation started after the incarnation [other] of the same instance. */
public fun StartId.isNewerThan(other: StartId): Boolean = value > other.value

/**
 * Remembers the newest incarnation seen of each instance; thread-safe.
 *
 * Holds at most [capacity] instances and evicts the least recently seen one.
 */
public class IncarnationRegistry(private val capacity: Int = DEFAULT_INCARNATION_CAPACITY) {
    private val newest: LinkedHashMap<InstanceId, StartId> = LinkedHashMap()

    /** Returns whether no newer incarnation than [startId] was seen of [instance], and remembers it if so. */
    @Synchronized
    public fun admit(instance: InstanceId, startId: StartId): Boolean {
        val known = newest.remove(instance)
        val admitted = known == null || !known.isNewerThan(startId)
        newest[instance] = if (admitted) startId else known
        if (newest.size > capacity) newest.remove(newest.keys.first())
        return admitted
    }

    /** Returns the start id of the newest incarnation seen of [instance], or null when none was seen. */
    @Synchronized
    public fun newestOrNull(instance: InstanceId): StartId? = newest[instance]
}

/** The default capacity of an [IncarnationRegistry], in instances. */
public const val DEFAULT_INCARNATION_CAPACITY: Int = 8192

private const val HEX_RADIX: Int = 16
private const val HEX_DIGITS: Int = 16
private val START_ID_FORM: Regex = Regex("[0-9a-f]{16}-[0-9a-f]{16}")

private fun hexOf(value: Long): String = value.toULong().toString(HEX_RADIX).padStart(HEX_DIGITS, '0')
