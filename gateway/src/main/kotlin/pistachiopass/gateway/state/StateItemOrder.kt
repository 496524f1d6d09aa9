/**
 * Compares published items by what they say, for a store that returns from an older copy of itself.
 *
 * What the store has lost is written again within about two seconds of its return, and an entry that nobody writes has
 * expired after a few seconds. A routing table never goes back, and an endpoint that has said that it leaves, or has
 * left, and a data centre that is out of service get nothing new on the word of an older copy.
 */
package pistachiopass.gateway.state

import pistachiopass.gateway.StateItem
import pistachiopass.gateway.model.PublishedEndpoint
import pistachiopass.model.TableVersion
import pistachiopass.published.Hold
import pistachiopass.published.ItemOrder
import pistachiopass.published.PublishedItem

/** Compares what [decodedOrNull] reads in items. */
internal class StateItemOrder(private val decodedOrNull: (PublishedItem) -> StateItem?) : ItemOrder {
    override fun isReplaced(known: PublishedItem, next: PublishedItem): Boolean {
        val nextVersion = versionOrNull(decodedOrNull(next))
        val knownVersion = nextVersion?.let { versionOrNull(decodedOrNull(known)) }
        return nextVersion == null || knownVersion == null || nextVersion >= knownVersion
    }

    override fun beliefMillis(known: PublishedItem, next: PublishedItem): Long {
        val nextState = decodedOrNull(next)
        return when (val state = decodedOrNull(known)) {
            is StateItem.Table -> tableMillis(versionOrNull(state), versionOrNull(nextState))
            is StateItem.Endpoint -> endpointMillis(state.endpoint, nextState as? StateItem.Endpoint)
            is StateItem.Evacuation -> if (state.isOut) WRITTEN_AGAIN_MILLIS else 0
            null -> 0
        }
    }

    private fun tableMillis(known: TableVersion?, next: TableVersion?): Long = when {
        known == null || next == null -> WRITTEN_AGAIN_MILLIS
        next < known -> Hold.UNTIL_REPLACED
        else -> 0
    }

    private fun endpointMillis(known: PublishedEndpoint?, nextItem: StateItem.Endpoint?): Long {
        val next = nextItem?.endpoint
        val isMissing = next == null && nextItem?.problem == null
        return when {
            known != null && isMissing -> REGISTERED_AGAIN_MILLIS
            known != null && next != null && (next.isDraining || isNotEarlier(known, next)) -> 0
            else -> WRITTEN_AGAIN_MILLIS
        }
    }

    private fun isNotEarlier(known: PublishedEndpoint, next: PublishedEndpoint): Boolean {
        val bornMillis = next.incarnation.bornMillis
        val knownBornMillis = known.incarnation.bornMillis
        val sequence = next.sequence
        val knownSequence = known.sequence
        val isTakenBack = known.isDraining && !next.isDraining
        val isLaterReport = sequence != null && knownSequence != null && sequence >= knownSequence && !isTakenBack
        return bornMillis > knownBornMillis || (bornMillis == knownBornMillis && isLaterReport)
    }

    private fun versionOrNull(state: StateItem?): TableVersion? =
        (state as? StateItem.Table)?.table?.takeUnless { it.gaps.lacksVersion }?.version
}

/** Time after which what was lost has been written again, or has expired since nobody writes it. */
private const val WRITTEN_AGAIN_MILLIS: Long = 5_000

/** Time within which an endpoint is registered again. */
private const val REGISTERED_AGAIN_MILLIS: Long = 2_500
