/** How long quarantines last, and what of them is out of date. */
package pistachiopass.quarantine

/** Computes ages and remaining times as of [nowMillis]. */
internal class QuarantineTerm(private val nowMillis: () -> Long, private val settings: QuarantineSettings) {
    /** Returns the time since the quarantine of [known] began; 0 without one. */
    fun ageMillis(known: PartEvidence): Long = known.sinceMillis?.let { nowMillis() - it } ?: 0

    /** Returns the time for which all requests with the part are refused; 0 once they are tried again. */
    fun remainingMillis(known: PartEvidence): Long =
        known.sinceMillis?.let { maxOf(0, it + durationMillis(known.strikes) - nowMillis()) } ?: 0

    fun isBlocking(known: PartEvidence): Boolean = remainingMillis(known) > 0

    /** Returns whether as much time as a quarantine lasted has passed since its end without a request. */
    fun isUnused(known: PartEvidence): Boolean {
        val since = known.sinceMillis ?: return false
        val durationMillis = durationMillis(known.strikes)
        return nowMillis() > since + durationMillis * 2 && known.lastRefusedMillis < since + durationMillis
    }

    /** Returns whether [statement] need not be remembered by an instance that knows nothing of the part. */
    fun isOutdated(statement: PartStatement): Boolean =
        if (statement.strikes > 0) {
            statement.ageMillis > durationMillis(statement.strikes) * 2
        } else {
            statement.ends.isEmpty() && statement.ageMillis > settings.clearedMillis
        }

    fun viewOf(known: PartEvidence): QuarantinedPart = QuarantinedPart(
        known.part,
        ageMillis(known),
        remainingMillis(known),
        known.strikes,
        known.crashes.size,
        known.refused,
    )

    private fun durationMillis(strikes: Int): Long =
        minOf(settings.quarantineMillis shl minOf(strikes - 1, DOUBLINGS_MAX), settings.quarantineMaxMillis)
}

private const val DOUBLINGS_MAX: Int = 20
