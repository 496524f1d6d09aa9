/** The settings that a changed settings file replaces while the instance runs. */
package pistachiopass.gateway.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onSuccess
import pistachiopass.entry.logging.EventLog
import pistachiopass.gateway.state.logUnread
import pistachiopass.model.UnreadPart

/** The bounds in force, and what of the settings could not be read. Confined to the event loop. */
public class CurrentBounds(bounds: BoundSettings, unread: List<UnreadPart> = emptyList()) {
    public var value: BoundSettings = bounds
        private set

    /** What of the settings that were read last could not be read. */
    public var unread: List<UnreadPart> = unread
        private set

    /** Replaces the bounds by those [read], unless the settings cannot be used at all, and logs what is unread. */
    public fun change(read: Result<LoadedSettings, String>) {
        read.onSuccess { value = it.settings.bounds }
        unread = read.mapBoth({ it.unread }, { listOf(UnreadPart("settings", "unusable")) })
        unread.forEach(EventLog::logUnread)
    }
}
