/** The published state in the form in which other instances fetch it. */
package pistachiopass.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import pistachiopass.gateway.state.PublishedState
import pistachiopass.published.PublishedChanges
import pistachiopass.published.Revision
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.zip.Deflater
import java.util.zip.GZIPOutputStream

/** The body of a response, with gzip if it [isCompressed]. */
internal class StateBody(val bytes: ByteArray, val isCompressed: Boolean)

/**
 * Encodes what [state] has for those that fetch it. Compressed bodies are kept while the position is the same, since
 * many instances fetch the same changes at once; the age in such a body is that of its first reader. Confined to the
 * event loop.
 */
internal class StateBodies(private val state: PublishedState) {
    private val kept = HashMap<Revision?, StateBody>()
    private var keptPosition: Revision? = null

    /** Returns what there is beyond [after], or all if it is null; the state has to be known. */
    fun bodyAfter(after: Revision?, isCompressed: Boolean, ageMillis: Long): StateBody {
        if (!isCompressed) return StateBody(encoded(state.log.changesAfter(after), ageMillis), isCompressed = false)
        if (state.position != keptPosition || state.heldCount > 0 || kept.size >= KEPT_MAX) kept.clear()
        keptPosition = state.position
        return kept.getOrPut(after) {
            StateBody(compressed(encoded(state.log.changesAfter(after), ageMillis)), isCompressed = true)
        }
    }

    /** Returns what is believed against the store; the state has to be known. */
    fun heldBody(ageMillis: Long): StateBody {
        val position = checkNotNull(state.position) { "no state is known" }
        val held = PublishedChanges(position, isFull = false, state.log.held)
        return StateBody(encoded(held, ageMillis), isCompressed = false)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun encoded(changes: PublishedChanges, ageMillis: Long): ByteArray =
        peerCbor.encodeToByteArray(PeerState.serializer(), PeerState(changes, ageMillis))
}

private fun compressed(bytes: ByteArray): ByteArray {
    val compressed = ByteArrayOutputStream()
    FastGzip(compressed).use { it.write(bytes) }
    return compressed.toByteArray()
}

/** Prefers speed to size, since the event loop does nothing else meanwhile. */
private class FastGzip(compressed: OutputStream) : GZIPOutputStream(compressed) {
    init {
        def.setLevel(Deflater.BEST_SPEED)
    }
}

/** Bodies that are kept: readers of one source are at a few positions. */
private const val KEPT_MAX: Int = 4
