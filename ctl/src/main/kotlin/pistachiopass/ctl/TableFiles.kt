/** Reading of the documents from files, with all problems of their shape. */
package pistachiopass.ctl

import pistachiopass.model.InstanceList
import pistachiopass.model.PoolsTable
import pistachiopass.model.RoutesTable
import pistachiopass.tables.Problem
import pistachiopass.tables.TableReading
import pistachiopass.tables.checkInstanceList
import pistachiopass.tables.checkPoolsTable
import pistachiopass.tables.checkRoutesTable
import pistachiopass.tables.checkTables
import pistachiopass.tables.readInstanceList
import pistachiopass.tables.readPoolsTable
import pistachiopass.tables.readRoutesTable
import java.io.File
import java.io.IOException

/** Is thrown when a file that an option names cannot be read. */
internal class UnreadableFileException(message: String, cause: IOException) : RuntimeException(message, cause)

/** Holds the documents read from files; a null value could not be read. */
internal class TableFiles(
    val routes: TableReading<RoutesTable>,
    val pools: TableReading<PoolsTable>,
    val instances: TableReading<InstanceList>?,
) {
    /** Returns the problems of shape, of each document and between them, as far as the documents could be read. */
    fun problems(): List<Problem> = routes.problems + pools.problems + instances?.problems.orEmpty() + meaning()

    private fun meaning(): List<Problem> {
        val routesTable = routes.value
        val poolsTable = pools.value
        val instanceList = instances?.value
        if (routesTable != null && poolsTable != null) return checkTables(routesTable, poolsTable, instanceList)
        return routesTable?.let(::checkRoutesTable).orEmpty() +
            poolsTable?.let(::checkPoolsTable).orEmpty() +
            instanceList?.let(::checkInstanceList).orEmpty()
    }
}

/** Returns the documents in the files that the options name. */
internal fun readTableFiles(
    routesFile: String,
    poolsFile: String,
    instancesFile: String?,
): TableFiles =
    TableFiles(
        routes = readRoutesTable(readOption("routes", routesFile)),
        pools = readPoolsTable(readOption("pools", poolsFile)),
        instances = instancesFile?.let { readInstanceList(readOption("instances", it)) },
    )

private fun readOption(
    option: String,
    file: String,
): String =
    try {
        File(file).readText()
    } catch (e: IOException) {
        throw UnreadableFileException("--$option $file: cannot be read: ${e.message}", e)
    }
