/**
 * Identifiers of the entities that the tables and the protocols name.
 *
 * Each is a value class over its text form, so that an identifier of one kind cannot be passed for another.
 */
package pistachiopass.model

import kotlinx.serialization.Serializable

/** Names one instance of the daemon, unique over all data centres. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names one life of a process: a restarted process keeps its instance or endpoint id and gets a new start id. */
@Serializable
@JvmInline
public value class StartId(public val value: String) {
    override fun toString(): String = value
}

/** Names a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names an endpoint, that is a model engine or a plain service, unique over all pools. */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names a workspace, the unit of fairness between callers. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names a route of the routes table. */
@Serializable
@JvmInline
public value class RouteName(public val value: String) {
    override fun toString(): String = value
}

/** Names a pool of the pools table; routes refer to pools by it. */
@Serializable
@JvmInline
public value class PoolName(public val value: String) {
    override fun toString(): String = value
}

/** Names a model that engines serve. */
@Serializable
@JvmInline
public value class ModelName(public val value: String) {
    override fun toString(): String = value
}

/** Names one request of a caller; it appears in every log line and header that concerns the request. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Orders the published states of one document; a version only rises. */
@Serializable
@JvmInline
public value class TableVersion(public val value: Long) : Comparable<TableVersion> {
    override fun compareTo(other: TableVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The version of a document that has not been seen yet. */
        public val NONE: TableVersion = TableVersion(0)
    }
}
