/** The runs of a plain service and the requests that it holds. */
package pistachiopass.standins.plain

import kotlinx.serialization.Serializable

/** Identifies what ran: the same call twice has the same identity. */
@Serializable
public data class RunIdentity(
    /** Value of `Idempotency-Key`, or null without one. */
    val key: String?,
    val path: String,
    val requestId: String?,
    /** SHA-256 of the body in hexadecimal. */
    val bodyHash: String,
)

/** Reports one identity and how often it ran. */
@Serializable
public data class RunReport(
    val key: String?,
    val path: String,
    val requestId: String?,
    val bodyHash: String,
    val count: Int,
)

/** Lists all runs in the order of their first run. */
@Serializable
public data class RunsReport(val runs: List<RunReport>)

/** Counts runs by identity and lists the requests held; safe for use by many threads. */
public class RunLog {
    private val counts: MutableMap<RunIdentity, Int> = linkedMapOf()
    private val held: MutableList<String> = mutableListOf()

    /** Records a run of [identity] and holds its request until [end] is called. */
    public fun begin(identity: RunIdentity): Unit =
        synchronized(this) {
            counts.merge(identity, 1, Int::plus)
            identity.requestId?.let { held += it }
        }

    /** Ends the holding of the request of [identity]. */
    public fun end(identity: RunIdentity): Unit =
        synchronized(this) {
            held -= identity.requestId.orEmpty()
        }

    /** Returns the ids of the requests held now. */
    public fun heldRequestIds(): List<String> = synchronized(this) { held.toList() }

    /** Returns all runs so far. */
    public fun report(): RunsReport =
        synchronized(this) {
            RunsReport(counts.map { (run, count) -> RunReport(run.key, run.path, run.requestId, run.bodyHash, count) })
        }
}
