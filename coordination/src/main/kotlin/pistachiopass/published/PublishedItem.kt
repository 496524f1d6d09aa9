/**
 * Items of a store that can only be read, in the form in which instances pass them on to each other.
 *
 * Keys and values are opaque here; the store's revision orders all changes.
 */
package pistachiopass.published

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Position of a change in the store's history; later changes have higher ones. */
@Serializable
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** The item [key] as of its last change at [revision]; [value] is null if that change removed it. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class PublishedItem(
    @SerialName("k") public val key: String,
    @SerialName("r") public val revision: Revision,
    @SerialName("v") @ByteString public val value: ByteArray?,
) {
    public val isRemoved: Boolean get() = value == null

    override fun toString(): String = "$key@$revision${if (isRemoved) " removed" else ""}"
}

/**
 * Items of the store as of [position].
 *
 * All existing items if [isFull], so that others do not exist any more; otherwise those that changed after the position
 * that was asked for. Changes later than [position] may be included.
 */
@Serializable
public class PublishedChanges(
    @SerialName("p") public val position: Revision,
    @SerialName("f") public val isFull: Boolean,
    @SerialName("i") public val items: List<PublishedItem>,
)
