/** The published items that this instance has, from the store or from other instances, and what they say. */
package pistachiopass.gateway.state

import pistachiopass.gateway.StateDecoder
import pistachiopass.published.PublishedChanges
import pistachiopass.published.PublishedLog
import pistachiopass.published.Revision

/** Decodes what changes in the log and applies it to [knownState]. Confined to the event loop. */
public class PublishedState internal constructor(public val knownState: KnownState, private val decoder: StateDecoder) {
    internal val log: PublishedLog = PublishedLog()

    /** Position up to which all changes are applied, or null while nothing is known. */
    public val position: Revision? get() = log.position

    /** Applies [changes]. */
    public fun apply(changes: PublishedChanges): Unit =
        knownState.apply(log.apply(changes).mapNotNull(decoder::decodeOrNull))
}
