/** The checks on runs of the relay simulation, and the documents that they publish. */
package pistachiopass.tables.relay

import kotlinx.serialization.json.Json
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.tables.DocumentName

/** The target of the design: a change is in force on all instances within 18 s. */
internal const val IN_FORCE_MILLIS = 18_000L

/** Publishes the first version of each document and starts all instances. */
internal fun RelaySimulation.startAll(): RelaySimulation = apply {
    platform.publish(DocumentName.INSTANCES, 1, Json.encodeToString(InstanceList.serializer(), list))
    platform.publish(DocumentName.ROUTES, 1, ROUTES)
    platform.publish(DocumentName.POOLS, 1, poolsText(1))
    simulatedInstances.values.forEach { it.start() }
    runFor(START_MILLIS)
}

/** Publishes [version] of the pools table, with data centre number [out] taken out of service. */
internal fun RelaySimulation.publishPools(version: Long, out: Int? = null, endpoints: Int = 3) =
    platform.publish(DocumentName.POOLS, version, poolsText(endpoints, out))

/** Returns the versions that an instance used after a higher one, also after a restart. */
internal fun RelaySimulation.versionRegressions(): List<Applied> =
    history.groupBy { it.instance to it.document }.values.flatMap { seen ->
        seen.zipWithNext().filter { (earlier, later) -> later.version < earlier.version }.map { it.second }
    }

/** Returns the time in ms from the publication of [version] to its acceptance by each instance; null if missing. */
internal fun RelaySimulation.delays(
    document: DocumentName,
    version: Long,
    instances: Collection<InstanceId> = simulatedInstances.keys,
): List<Long?> {
    val fromMillis = publishedAt.getValue(document to version)
    val seen = accepted.filter { it.document == document && it.version >= version }.groupBy { it.instance }
    return instances.map { instance -> seen[instance]?.minOf { it.atMillis }?.minus(fromMillis) }
}

/** Returns whether all of [instances] had [version] in force within the target time. */
internal fun RelaySimulation.isInTime(
    document: DocumentName,
    version: Long,
    instances: Collection<InstanceId> = simulatedInstances.keys,
): Boolean = delays(document, version, instances).all { it != null && it <= IN_FORCE_MILLIS }

/** Returns the maximum number of platform calls within one second, from [fromMillis] on. */
internal fun RelaySimulation.peakCalls(fromMillis: Long): Int = platform.callsAtMillis.filter { it >= fromMillis }
    .groupingBy { it / 1_000 }.eachCount().values.maxOrNull() ?: 0

private fun poolsText(endpoints: Int, out: Int? = null): String {
    val rows = (0 until endpoints).joinToString(",") {
        """{"id":"engine-$it","dataCentre":"dc${it % 3}","address":"10.0.${it / 250}.${it % 250}:9001",""" +
            """"budgetTokens":200000,"slots":16,"coldBudgetTokens":20000,"coldSlots":2,"models":["drape-8b"]}"""
    }
    val outText = out?.let { ",\"dataCentresOut\":[\"dc$it\"]" }.orEmpty()
    return """{"pools":[{"name":"drape","kind":"model","endpoints":[$rows]}]$outText}"""
}

private const val ROUTES = """{"routes":[{"name":"a","match":{"pathPrefix":"/"},"pool":"drape"}]}"""
private const val START_MILLIS = 15_000L
