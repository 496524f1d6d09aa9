/** Fields of log lines for identifiers and names. */
package pistachiopass.entry.logging

import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.ModelName
import pistachiopass.model.PoolName
import pistachiopass.model.RouteName
import pistachiopass.model.StartId
import pistachiopass.model.TableVersion
import pistachiopass.model.WorkspaceId

/** Returns a field with an instance id. */
public fun field(name: String, id: InstanceId): EventField = tokenField(name, id.value)

/** Returns a field with a start id. */
public fun field(name: String, id: StartId): EventField = tokenField(name, id.value)

/** Returns a field with a data centre id. */
public fun field(name: String, id: DataCentreId): EventField = tokenField(name, id.value)

/** Returns a field with an endpoint id. */
public fun field(name: String, id: EndpointId): EventField = tokenField(name, id.value)

/** Returns a field with a workspace id. */
public fun field(name: String, id: WorkspaceId): EventField = tokenField(name, id.value)

/** Returns a field with the name of a route. */
public fun field(name: String, route: RouteName): EventField = tokenField(name, route.value)

/** Returns a field with the name of a pool. */
public fun field(name: String, pool: PoolName): EventField = tokenField(name, pool.value)

/** Returns a field with the name of a model. */
public fun field(name: String, model: ModelName): EventField = tokenField(name, model.value)

/** Returns a field with the version of a table. */
public fun field(name: String, version: TableVersion): EventField = field(name, version.value)
