/**
 * Choice of the endpoint for a request, with the reason for each candidate.
 *
 * The daemon and `pistachioctl explain` run the same code, so an explanation shows the choice that the daemon would
 * make.
 */
package pistachiopass.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.ModelName
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import kotlin.math.ceil

/** Why an endpoint was chosen or not. */
@Serializable
public enum class CandidateReason {
    @SerialName("chosen")
    CHOSEN,

    @SerialName("would do as well")
    ELIGIBLE,

    @SerialName("data centre is out")
    DATA_CENTRE_OUT,

    @SerialName("endpoint is leaving")
    LEAVING,

    @SerialName("endpoint does not answer")
    UNREACHABLE,

    @SerialName("an attempt at the endpoint has failed")
    FAILED_BEFORE,

    @SerialName("endpoint does not serve the model")
    MODEL_MISSING,

    @SerialName("request exceeds the endpoint's memory")
    TOO_SMALL,

    @SerialName("reserved for long prompts")
    RESERVED_FOR_LONG,

    @SerialName("reserved for short prompts")
    RESERVED_FOR_SHORT,

    @SerialName("no room at the moment")
    FULL,

    @SerialName("no room during the cold start")
    COLD_FULL,
}

/** One endpoint of the pool and why it was chosen or not. */
@Serializable
public data class Candidate(val endpoint: EndpointId, val reason: CandidateReason)

/** The chosen endpoint, or null, and the reason for every candidate in order of preference. */
public data class Choice(val endpoint: Endpoint?, val candidates: List<Candidate>) {
    /** Whether the request exceeds the memory of every endpoint of the pool, so that waiting does not help. */
    val exceedsEveryEndpoint: Boolean
        get() = candidates.isNotEmpty() && candidates.all { it.reason == CandidateReason.TOO_SMALL }
}

/** Chooses an endpoint of a pool for a request. */
public fun interface EndpointChooser {
    /** Returns the choice, which depends on the arguments only. */
    public fun choose(metadata: RequestMetadata, pool: Pool, view: FleetView): Choice
}

/**
 * Returns a chooser that prefers endpoints in the data centre of this instance and, among these, the first by
 * rendezvous hashing of workspace and prompt prefix whose load does not exceed [loadFactor] times the average.
 *
 * The load bound follows Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2016.
 */
public fun affinityChooser(loadFactor: Double = DEFAULT_LOAD_FACTOR): EndpointChooser {
    require(loadFactor >= 1.0) { "loadFactor must be at least 1, was $loadFactor" }
    return EndpointChooser { metadata, pool, view -> chooseByAffinity(metadata, pool, view, loadFactor) }
}

private fun chooseByAffinity(metadata: RequestMetadata, pool: Pool, view: FleetView, loadFactor: Double): Choice {
    val ranked = pool.endpoints.rankedFor(metadata.affinityKey()) { it.id.value }
    val (local, remote) = ranked.partition { it.dataCentre == view.dataCentre }
    val ordered = local + remote
    val ownReasons = ordered.associateWith { candidateReason(it, metadata, pool.kind, view) }
    val reasons = if (pool.kind == PoolKind.MODEL) applyConfinement(ownReasons, metadata, view) else ownReasons
    val chosen = firstWithinLoadBound(local, reasons, view, loadFactor)
        ?: firstWithinLoadBound(remote, reasons, view, loadFactor)
    return Choice(
        endpoint = chosen,
        candidates = ordered.map {
            Candidate(
                it.id,
                if (it == chosen) CandidateReason.CHOSEN else reasons.getValue(it)
            )
        },
    )
}

/**
 * Returns the reasons after the confinement of long prompts, which affects only the data centre of this instance.
 *
 * There, a long prompt goes only to endpoints for long prompts, unless none of these could take it even when idle. A
 * short prompt avoids these endpoints as long as another one is eligible.
 */
private fun applyConfinement(
    reasons: Map<Endpoint, CandidateReason>,
    metadata: RequestMetadata,
    view: FleetView,
): Map<Endpoint, CandidateReason> {
    val (forLong, forShort) = reasons.keys.filter { it.dataCentre == view.dataCentre }
        .partition { it.id in view.longPromptEndpoints }
    val isLong = promptClassOf(metadata.promptTokens).isLong
    val isConfined = if (isLong) {
        forLong.any { reasons.getValue(it) in USABLE_NOW_OR_LATER }
    } else {
        forShort.any { reasons[it] == CandidateReason.ELIGIBLE }
    }
    if (!isConfined) return reasons
    val excluded = if (isLong) forShort else forLong
    val reason = if (isLong) CandidateReason.RESERVED_FOR_SHORT else CandidateReason.RESERVED_FOR_LONG
    return reasons.mapValues { (endpoint, own) ->
        if (endpoint in excluded && own in USABLE_NOW_OR_LATER) reason else own
    }
}

private val USABLE_NOW_OR_LATER: Set<CandidateReason> =
    setOf(CandidateReason.ELIGIBLE, CandidateReason.FULL, CandidateReason.COLD_FULL)

private fun RequestMetadata.affinityKey(): String = "$workspace/$prefixDigest"

private fun firstWithinLoadBound(
    ranked: List<Endpoint>,
    reasons: Map<Endpoint, CandidateReason>,
    view: FleetView,
    loadFactor: Double,
): Endpoint? {
    val eligible = ranked.filter { reasons[it] == CandidateReason.ELIGIBLE }
    val averageSlots = eligible.sumOf { view.loadOf(it.id).heldSlots + 1 }.toDouble() / eligible.size.coerceAtLeast(1)
    val boundSlots = ceil(averageSlots * loadFactor)
    return eligible.firstOrNull { view.loadOf(it.id).heldSlots + 1 <= boundSlots } ?: eligible.firstOrNull()
}

/** Returns why [endpoint] can or cannot accept the request now; never [CandidateReason.CHOSEN]. */
public fun candidateReason(
    endpoint: Endpoint,
    metadata: RequestMetadata,
    kind: PoolKind,
    view: FleetView,
): CandidateReason {
    val load = view.loadOf(endpoint.id)
    val neededTokens = if (kind == PoolKind.MODEL) metadata.tokens else 0
    return when {
        kind == PoolKind.MODEL && neededTokens > endpoint.budgetTokens -> CandidateReason.TOO_SMALL
        endpoint.dataCentre in view.dataCentresOut -> CandidateReason.DATA_CENTRE_OUT
        endpoint.state == EndpointState.LEAVING -> CandidateReason.LEAVING
        !load.reachable -> CandidateReason.UNREACHABLE
        endpoint.id in metadata.failedEndpoints -> CandidateReason.FAILED_BEFORE
        kind == PoolKind.MODEL && !endpoint.serves(metadata.model) -> CandidateReason.MODEL_MISSING
        load.cold && !endpoint.hasColdRoom(load, neededTokens) -> CandidateReason.COLD_FULL
        !endpoint.hasRoom(load, neededTokens) -> CandidateReason.FULL
        else -> CandidateReason.ELIGIBLE
    }
}

private fun Endpoint.serves(model: ModelName?): Boolean = model == null || models.isEmpty() || model in models

private fun Endpoint.hasRoom(load: EndpointLoad, neededTokens: Long): Boolean =
    load.heldSlots < slots && load.heldTokens + neededTokens <= budgetTokens

private fun Endpoint.hasColdRoom(load: EndpointLoad, neededTokens: Long): Boolean =
    load.heldSlots < coldSlots && load.heldTokens + neededTokens <= coldBudgetTokens

private const val DEFAULT_LOAD_FACTOR: Double = 1.25
