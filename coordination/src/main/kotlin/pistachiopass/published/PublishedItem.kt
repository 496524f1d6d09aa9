/**
 * Items of a store that can only be read, in the form in which instances pass them on to each other.
 *
 * Keys and values are opaque here; the store's eras and revisions order all changes.
 */
package pistachiopass.published

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Position of a change in the store's history; later changes have higher ones.
 *
 * The revision [value] rises with each change within an [era]. A store that returns from an older copy of itself begins
 * the next era, in which revisions that were given out before are given out again.
 */
@Serializable
public data class Revision(@SerialName("v") val value: Long, @SerialName("e") val era: Long = 0) :
    Comparable<Revision> {
    override fun compareTo(other: Revision): Int = compareValuesBy(this, other, Revision::era, Revision::value)

    override fun toString(): String = if (era == 0L) "$value" else "$era:$value"
}

/** Returns the position that [text] states as [Revision.toString] does, or null if it states none. */
public fun revisionOrNull(text: String): Revision? {
    val era = if (':' in text) text.substringBefore(':').toLongOrNull() else 0
    val value = text.substringAfter(':').toLongOrNull()
    return if (era == null || value == null) null else Revision(value, era)
}

/**
 * Marks an item that is believed from an earlier era against what the store has in the present one.
 *
 * It is believed for [remainingMillis] more, within which it would be written again; then [published] holds, the value
 * that the store has, null for none.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class Hold(
    @SerialName("m") public val remainingMillis: Long,
    @SerialName("v") @ByteString public val published: ByteArray?,
) {
    public companion object {
        /** Time of a hold that only a later change of the item ends. */
        public const val UNTIL_REPLACED: Long = Long.MAX_VALUE
    }
}

/**
 * The item [key] as of its last change at [revision]; [value] is null if that change removed it. With a [hold] it is
 * not what the store has at present.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class PublishedItem(
    @SerialName("k") public val key: String,
    @SerialName("r") public val revision: Revision,
    @SerialName("v") @ByteString public val value: ByteArray?,
    @SerialName("h") public val hold: Hold? = null,
) {
    public val isRemoved: Boolean get() = value == null

    /** What the store has; null if it has no such item. */
    internal val published: ByteArray? get() = if (hold == null) value else hold.published

    internal fun isSameAs(other: PublishedItem): Boolean = value.contentEquals(other.value)

    override fun toString(): String =
        "$key@$revision${if (isRemoved) " removed" else ""}${if (hold != null) " held" else ""}"
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
