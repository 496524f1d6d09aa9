/** Models, adapters and role of an engine, and the orders that change them. */
package pistachiopass.standins.engine

import kotlinx.serialization.Serializable

/** Orders an engine to change what it has loaded or its role. */
@Serializable
internal data class EngineOrder(
    val kind: String,
    val model: String? = null,
    val version: String? = null,
    val role: String? = null,
    val fencingNumber: Long = 0,
)

/** Answers an order; carries the highest fencing number when the order was refused for an old one. */
@Serializable
internal data class OrderAnswer(val applied: Boolean, val fencingNumber: Long? = null)

/** Holds what one start of an engine has loaded; not safe for concurrent use. */
internal class LoadedModels(private val settings: EngineSettings) {
    val models: MutableSet<String> = settings.models.toMutableSet()
    val adapters: MutableSet<String> = mutableSetOf()
    var role: String = "mixed"
        private set
    private var highestFencingNumber: Long = 0

    /** Returns the refusal of an order that carries an old fencing number, or null for one that may go on. */
    fun refusalOrNull(order: EngineOrder): OrderAnswer? {
        if (settings.checksFencing && order.fencingNumber < highestFencingNumber) {
            return OrderAnswer(applied = false, fencingNumber = highestFencingNumber)
        }
        highestFencingNumber = maxOf(highestFencingNumber, order.fencingNumber)
        return null
    }

    /** Carries out an order that was not refused and returns whether its kind is known. */
    fun apply(order: EngineOrder): Boolean {
        when (order.kind) {
            "load-model" -> models += requireModel(order)
            "unload-model" -> models -= requireModel(order)
            "load-adapter" -> adapters += requireModel(order)
            "set-role" -> role = requireNotNull(order.role) { "order set-role without a role" }
            else -> return false
        }
        return true
    }

    private fun requireModel(order: EngineOrder): String =
        requireNotNull(order.model) { "order ${order.kind} without a model" }
}
