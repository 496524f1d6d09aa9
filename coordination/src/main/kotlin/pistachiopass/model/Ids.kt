/**
 * Identifiers of the entities in the published documents and in the protocols.
 *
 * Each is a value class over its text form, so that an identifier of one kind cannot be passed for another.
 */
package pistachiopass.model

import kotlinx.serialization.Serializable

/** Identifies one instance of the daemon, unique across all data centres. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies one incarnation of a process: a restart keeps the instance or endpoint id and changes the start id. */
@Serializable
@JvmInline
public value class StartId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies an endpoint, which is a model engine or a plain HTTP service, unique across all pools. */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** One run of an endpoint's process: its id and the Unix time of its start; [bornMillis] is 0 if not stated. */
public data class EndpointIncarnation(val endpoint: EndpointId, val bornMillis: Long)

/** Identifies a workspace, the unit of fairness between callers. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a route in the routes table. */
@Serializable
@JvmInline
public value class RouteName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a pool in the pools table, by which routes refer to it. */
@Serializable
@JvmInline
public value class PoolName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a model that engines serve. */
@Serializable
@JvmInline
public value class ModelName(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one request of a caller in every log line and header that concerns it. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a part of a prompt, such as a system prompt or a document; requests with the same part share its id. */
@Serializable
@JvmInline
public value class PromptPartId(public val value: String) : Comparable<PromptPartId> {
    override fun compareTo(other: PromptPartId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Version of a published document; each publication increases it. */
@Serializable
@JvmInline
public value class TableVersion(public val value: Long) : Comparable<TableVersion> {
    override fun compareTo(other: TableVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Version of a document that has not been received yet. */
        public val NONE: TableVersion = TableVersion(0)
    }
}
