/**
 * The documents that are being fetched from peers, with one call at a time for each document.
 *
 * Peers that announce a version during a call are remembered; the one with the highest version is called next if the
 * call fails or returns a lower version.
 */
package pistachiopass.tables.relay

import pistachiopass.model.InstanceId
import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import java.util.EnumMap
import java.util.EnumSet

/** Chooses the peer from which each document is fetched next. */
internal class DocumentFetches {
    private class Offer(val peer: InstanceId, val version: TableVersion)

    private val offers: MutableMap<DocumentName, ArrayDeque<Offer>> = EnumMap(DocumentName::class.java)
    private val running: MutableSet<DocumentName> = EnumSet.noneOf(DocumentName::class.java)

    /** Whether any document is being fetched. */
    val isRunning: Boolean get() = running.isNotEmpty()

    /** Records that [peer] has [version] of [document], which is needed; returns the call to make now, or null. */
    fun onOfferedOrNull(peer: InstanceId, document: DocumentName, version: TableVersion): RelayAction? {
        val queue = offers.getOrPut(document) { ArrayDeque() }
        if (queue.size < MAX_OFFERS) queue.addLast(Offer(peer, version))
        return if (document in running) null else nextOrNull(document, TableVersion.NONE)
    }

    /** Records that the call for [document] has ended and [inForce] is in force; returns the next call, or null. */
    fun onEndedOrNull(document: DocumentName, inForce: TableVersion): RelayAction? {
        running -= document
        return nextOrNull(document, inForce)
    }

    private fun nextOrNull(document: DocumentName, inForce: TableVersion): RelayAction? {
        val queue = offers[document] ?: return null
        queue.removeAll { it.version <= inForce }
        return queue.maxByOrNull { it.version }?.let { next ->
            queue -= next
            running += document
            RelayAction.Fetch(next.peer, document)
        }
    }
}

private const val MAX_OFFERS: Int = 16
