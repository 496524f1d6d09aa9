/**
 * Rendezvous hashing: all instances with the same members rank them identically for a key, without shared state.
 *
 * When a member leaves, only the keys for which it ranked first move; see Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998.
 */
package pistachiopass.routing

import org.apache.commons.codec.digest.MurmurHash3

/** Returns the members in descending order of their weight for [key]; [idOf] returns the text that is hashed. */
public fun <T> Iterable<T>.rankedFor(key: String, idOf: (T) -> String): List<T> =
    map { member -> Weighted(member, weight(key, idOf(member)), idOf(member)) }
        .sortedWith(compareByDescending<Weighted<T>> { it.weight }.thenBy { it.id })
        .map { it.member }

/** Returns the member that ranks first for [key], or null if there are no members. */
public fun <T> Iterable<T>.firstFor(key: String, idOf: (T) -> String): T? {
    var best: Weighted<T>? = null
    for (member in this) {
        val candidate = Weighted(member, weight(key, idOf(member)), idOf(member))
        val current = best
        if (current == null || candidate.ranksBefore(current)) best = candidate
    }
    return best?.member
}

private class Weighted<T>(val member: T, val weight: Long, val id: String) {
    fun ranksBefore(other: Weighted<T>): Boolean =
        weight > other.weight || (weight == other.weight && id < other.id)
}

private fun weight(key: String, id: String): Long =
    MurmurHash3.hash128x64("$key\u0000$id".encodeToByteArray()).first()
