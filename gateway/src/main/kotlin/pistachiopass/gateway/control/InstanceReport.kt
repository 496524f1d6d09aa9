/** What operators are told about an instance. */
package pistachiopass.gateway.control

import pistachiopass.gateway.StateSource
import pistachiopass.gateway.monotonicMillis
import pistachiopass.gateway.settings.CurrentBounds
import pistachiopass.gateway.settings.GatewaySettings
import pistachiopass.gateway.state.PublishedState
import pistachiopass.model.TableVersion
import pistachiopass.model.UnreadPart
import pistachiopass.status.InstanceStatus
import pistachiopass.status.StoreStatus
import pistachiopass.status.TableStatus

/** Reports on the instance with [settings]. Confined to the event loop. */
internal class InstanceReport(
    private val settings: GatewaySettings,
    private val bounds: CurrentBounds,
    private val source: StateSource,
    private val state: PublishedState,
    private val isReady: () -> Boolean,
) {
    private val startedMillis = monotonicMillis()
    private val knownState = state.knownState

    /** Returns what of the settings and of the published state could not be read. */
    fun unreadParts(): List<UnreadPart> = bounds.unread + source.unread + knownState.unreadParts()

    /** Returns what is known of the store, or null while nothing is. */
    fun store(): StoreStatus? = state.position?.let { StoreStatus(it.era, it.value, state.heldCount) }

    fun status(): InstanceStatus = InstanceStatus(
        settings.instance,
        settings.dataCentre,
        ready = isReady(),
        uptimeMillis = monotonicMillis() - startedMillis,
        tables = listOf(
            TableStatus(
                "configuration",
                knownState.table?.version ?: TableVersion.NONE,
                knownState.tableAgeMillisOrNull(),
                isOutdated = knownState.isTableOutdated,
            ),
        ),
        unread = unreadParts(),
        store = store(),
    )
}
