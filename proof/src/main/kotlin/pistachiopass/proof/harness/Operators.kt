/** What operators do at the platform: publish tables, and in tests switch the platform's faults. */
package pistachiopass.proof.harness

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.PoolsTable
import pistachiopass.model.TableVersion
import pistachiopass.proof.history.DataCentreChanged
import pistachiopass.proof.history.EndpointChanged
import pistachiopass.proof.history.HistoryEvent
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.TablePublished
import pistachiopass.standins.fault.FaultSetting

/** Publishes changes of [pools] at the platform and records them. */
public class Operators internal constructor(
    private val platformAddress: String,
    private var pools: PoolsTable,
    private val control: ControlClient,
    private val recorder: Recorder,
) {
    private var hidesChanges: Boolean = false
    private val hidden: MutableList<(Long) -> HistoryEvent> = mutableListOf()

    /** The version of the pools table that was published last. */
    public var lastPools: TableVersion = TableVersion(1)
        private set

    /** Switches a fault by which the platform shows no changes; what is published meanwhile counts from its end. */
    public suspend fun switchPlatform(setting: FaultSetting) {
        control.textOrNull("POST", platformAddress, "/admin/faults", Json.encodeToString(setting))
        hidesChanges = setting.on
        if (!hidesChanges) hidden.onEach(recorder::record).clear()
    }

    /** Publishes a data centre as out or back. */
    public suspend fun publishDataCentre(centre: DataCentreId, isOut: Boolean) {
        val out = if (isOut) pools.dataCentresOut + centre else pools.dataCentresOut - centre
        val beforeMillis = recorder.nowMillis()
        publish(pools.copy(dataCentresOut = out))
        // The return counts from before it was published, since work may come before the platform's answer does.
        recordOnceVisible { DataCentreChanged(if (isOut) it else beforeMillis, centre, isOut) }
    }

    /** Publishes an endpoint as leaving or active. */
    public suspend fun publishEndpoint(endpoint: EndpointId, isLeaving: Boolean) {
        val state = if (isLeaving) EndpointState.LEAVING else EndpointState.ACTIVE
        val changed = pools.pools.map { pool ->
            pool.copy(endpoints = pool.endpoints.map { if (it.id == endpoint) it.copy(state = state) else it })
        }
        val beforeMillis = recorder.nowMillis()
        publish(pools.copy(pools = changed))
        recordOnceVisible { EndpointChanged(if (isLeaving) it else beforeMillis, endpoint, isLeaving) }
    }

    private suspend fun publish(table: PoolsTable) {
        pools = table
        val answer = control.textOrNull("PUT", platformAddress, "/admin/documents/pools", Json.encodeToString(table))
        val version = checkNotNull(answer) { "the platform did not take the pools table" }
            .let { CONTROL_JSON.decodeFromString<WriteResponse>(it).version }
        recordOnceVisible { TablePublished(it, "pools", version) }
        lastPools = version
    }

    private fun recordOnceVisible(eventAt: (Long) -> HistoryEvent) {
        if (hidesChanges) hidden += eventAt else recorder.record(eventAt)
    }
}

@Serializable
private data class WriteResponse(val version: TableVersion)
