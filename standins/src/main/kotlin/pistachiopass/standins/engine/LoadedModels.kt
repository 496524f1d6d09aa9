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
internal data class OrderResponse(val applied: Boolean, val fencingNumber: Long? = null)

/** Holds what one start of an engine has loaded; not safe for concurrent use. */
internal class LoadedModels(private val settings: EngineSettings) {
    val models: MutableSet<String> = settings.models.toMutableSet()
    val adapters: MutableSet<String> = mutableSetOf()
    var role: String = "mixed"
        private set
    private var highestFencingNumber: Long = 0

    /** Returns the refusal of an order that carries an old fencing number, or null for one that may go on. */
    fun refusalOrNull(order: EngineOrder): OrderResponse? {
        if (settings.checksFencing && order.fencingNumber < highestFencingNumber) {
            return OrderResponse(applied = false, fencingNumber = highestFencingNumber)
        }
        highestFencingNumber = maxOf(highestFencingNumber, order.fencingNumber)
        return null
    }

    /** Carries out an order that is complete and was not refused. */
    fun apply(order: EngineOrder) {
        when (order.kind) {
            LOAD_MODEL -> models += order.model.orEmpty()
            UNLOAD_MODEL -> models -= order.model.orEmpty()
            LOAD_ADAPTER -> adapters += order.model.orEmpty()
            SET_ROLE -> role = order.role.orEmpty()
            else -> error("order of unknown kind ${order.kind}")
        }
    }
}

/** Whether the order is of a known kind and names what it concerns. */
internal val EngineOrder.isComplete: Boolean
    get() = when (kind) {
        LOAD_MODEL, UNLOAD_MODEL, LOAD_ADAPTER -> !model.isNullOrEmpty()
        SET_ROLE -> !role.isNullOrEmpty()
        else -> false
    }

/** Carries out an order, or returns its refusal when it carries an old fencing number. */
internal fun EngineCore.applyOrder(order: EngineOrder, nowMillis: Long): OrderResponse? {
    val refusal = loaded.refusalOrNull(order)
    if (refusal == null) {
        loadHistory.beforeChange(nowMillis, ::currentLoad)
        loaded.apply(order)
    }
    return refusal
}

private const val LOAD_MODEL: String = "load-model"
private const val UNLOAD_MODEL: String = "unload-model"
private const val LOAD_ADAPTER: String = "load-adapter"
private const val SET_ROLE: String = "set-role"
