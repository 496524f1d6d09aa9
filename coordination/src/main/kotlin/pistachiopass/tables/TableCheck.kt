/**
 * Checks of the documents: each by itself, as an instance does, or all together, as operators do before publishing.
 *
 * Documents are edited one after the other, so an instance refuses a document only for errors of its own; see
 * docs/design/tables.md.
 */
package pistachiopass.tables

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import pistachiopass.model.InstanceList
import pistachiopass.model.PoolsTable
import pistachiopass.model.RoutesTable

/** Reads and checks one document independently of the others. */
public fun interface TableCheck<T> {
    /** Returns the document decoded from [value], with all its problems. */
    public fun read(value: JsonElement): TableReading<T>
}

/** Returns the check of the routes table by itself. */
public fun routesTableCheck(): TableCheck<RoutesTable> =
    tableCheck(DocumentName.ROUTES, RoutesTable.serializer(), ::checkRoutesTable)

/** Returns the check of the pools table by itself. */
public fun poolsTableCheck(): TableCheck<PoolsTable> =
    tableCheck(DocumentName.POOLS, PoolsTable.serializer(), ::checkPoolsTable)

/** Returns the check of the instance list by itself. */
public fun instanceListCheck(): TableCheck<InstanceList> =
    tableCheck(DocumentName.INSTANCES, InstanceList.serializer(), ::checkInstanceList)

/** Returns all problems of each document and between the documents; the strict check before publishing. */
public fun checkTables(
    routes: RoutesTable,
    pools: PoolsTable,
    instances: InstanceList? = null,
): List<Problem> =
    checkRoutesTable(routes) +
        checkPoolsTable(pools) +
        (instances?.let(::checkInstanceList).orEmpty()) +
        crossCheck(routes, pools, instances)

private fun <T> tableCheck(
    document: DocumentName,
    serializer: KSerializer<T>,
    check: (T) -> List<Problem>,
): TableCheck<T> =
    TableCheck { element ->
        val reading = readElement(element, document, serializer)
        val value = reading.value
        if (value == null) reading else reading.copy(problems = reading.problems + check(value))
    }
