/** Which of the requests with a quarantined part are refused. */
package pistachiopass.quarantine

/** Refuses requests with all of [inseparable] and, if it is not null, with one of [seen]. */
internal class QuarantineScope(
    /** Parts that were in all requests that the quarantined part is blamed for; they may be to blame as well. */
    val inseparable: Set<PartHash>,
    /**
     * Parts and contents of these requests, while they are so few that the part may have been among them by chance. A
     * request with none of them shows whether it was.
     */
    val seen: Set<PartHash>?,
) {
    fun contains(request: Collection<PartHash>): Boolean =
        request.containsAll(inseparable) && (seen == null || request.any(seen::contains))

    companion object {
        val ALL = QuarantineScope(emptySet(), seen = null)
    }
}
