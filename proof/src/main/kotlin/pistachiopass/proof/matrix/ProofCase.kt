/** The table of cases: points, steps and faults. */
package pistachiopass.proof.matrix

import kotlinx.serialization.Serializable
import kotlin.random.Random

/** What is under test. */
public enum class Point(public val text: String) {
    MODEL_REQUEST("model request"),
    BOOKING("booking"),
    TABLES("tables"),
}

/** The step at which a fault is injected. */
public enum class Step(public val text: String, public val point: Point) {
    WAITING("waiting", Point.MODEL_REQUEST),
    BEFORE_FIRST_CHUNK("before the first chunk", Point.MODEL_REQUEST),
    BETWEEN_CHUNKS("between chunks", Point.MODEL_REQUEST),
    AT_END("at the end", Point.MODEL_REQUEST),
    BEFORE_SEND("before send", Point.BOOKING),
    SENT("sent", Point.BOOKING),
    ANSWERED("answered", Point.BOOKING),
    PUBLISHING("publishing", Point.TABLES),
    WATCHING("watching", Point.TABLES),
}

/** One case: the faults are injected at the step, one after the other. */
@Serializable
public data class ProofCase(val step: Step, val faults: List<Fault>, val seed: Long) {
    /** Name by which the command runs the case again. */
    val name: String get() = (listOf(step.name) + faults.map { it.name }).joinToString("+").lowercase()
}

/** Returns every fault at every step where it applies. */
public fun matrixCases(seed: Long): List<ProofCase> = Step.entries.flatMap { step ->
    faultsAt(step.point).map { ProofCase(step, listOf(it), seed) }
}

/** Returns a case of two faults, one of them perhaps twice, that [seed] alone determines. */
public fun pairCase(seed: Long): ProofCase {
    val random = Random(seed)
    val step = Step.entries.random(random)
    return ProofCase(step, List(2) { faultsAt(step.point).random(random) }, seed)
}

/** Returns the case with [name]. */
public fun caseOf(name: String, seed: Long): ProofCase {
    val parts = name.uppercase().split('+')
    return ProofCase(Step.valueOf(parts.first()), parts.drop(1).map { Fault.valueOf(it) }, seed)
}

private fun faultsAt(point: Point): List<Fault> = when (point) {
    Point.MODEL_REQUEST -> Fault.entries - Fault.ENDPOINT_RESET
    Point.BOOKING -> Fault.entries - ENGINE_FAULTS
    Point.TABLES -> listOf(
        Fault.INSTANCE_KILL,
        Fault.INSTANCE_FREEZE,
        Fault.INSTANCE_STOP,
        Fault.PLATFORM_ABSENT,
        Fault.PLATFORM_STALE,
    )
}

private val ENGINE_FAULTS: Set<Fault> =
    setOf(Fault.ENGINE_RESTART, Fault.ENGINE_COLD, Fault.LATE_CHUNKS, Fault.DOUBLED_CHUNKS)
