/** What operators see of a quarantine, and how it ends. */
package pistachiopass.quarantine

import kotlinx.serialization.Serializable
import pistachiopass.model.PromptPartId

/** A quarantined part. */
@Serializable
public data class QuarantinedPart(
    public val part: PromptPartId,
    public val ageMillis: Long,
    /** Time for which all requests with the part are refused; 0 once they are tried again. */
    public val remainingMillis: Long,
    /** Quarantines in a row. */
    public val strikes: Int,
    /** Runs of endpoints that ended on requests with the part, as far as remembered. */
    public val runs: Int,
    /** Requests that this instance has refused for the part. */
    public val refused: Long,
)

/** Why a quarantine ended. */
public enum class ReleaseReason {
    /** A request with the part was answered. */
    ANSWERED,

    /** An operator lifted it. */
    LIFTED,

    /** Another instance ended it. */
    PEER,

    /** Another part, which more endpoints ended on, explains what is held against it, for the time being. */
    EXPLAINED,

    /** It expired, and no request with the part has come since. */
    UNUSED,
}

/** Receives the beginning and the end of quarantines. */
public interface QuarantineListener {
    /** Called when [part] is quarantined, or again; [isLearned] tells whether other instances found it. */
    public fun onQuarantined(part: QuarantinedPart, isLearned: Boolean)

    /** Called when the quarantine of [part] ends after [ageMillis]. */
    public fun onReleased(part: PromptPartId, reason: ReleaseReason, ageMillis: Long)
}

/** Path at the control address of an instance under which its quarantined parts are read, and lifted by their ids. */
public const val QUARANTINE_PATH: String = "/quarantine"
