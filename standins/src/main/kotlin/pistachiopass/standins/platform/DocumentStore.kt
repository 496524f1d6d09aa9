/** The documents of the platform stand-in, as operators write them and as readers see them. */
package pistachiopass.standins.platform

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.map
import kotlinx.serialization.json.JsonElement
import pistachiopass.model.Published
import pistachiopass.model.TableVersion

/** Names every document that the platform publishes. */
public val DOCUMENT_NAMES: Set<String> = setOf("routes", "pools", "instances")

/** Holds the latest state of each document; while it is stale, readers see the states of the moment it became so. */
public class DocumentStore {
    private val written: MutableMap<String, Published<JsonElement>> = mutableMapOf()
    private val readable: MutableStateFlow<Map<String, Published<JsonElement>>> = MutableStateFlow(emptyMap())
    private var stale: Boolean = false

    /** Replaces the value of a document and returns the new state, whose version is one higher. */
    public fun put(name: String, value: JsonElement): Published<JsonElement> =
        synchronized(this) {
            require(name in DOCUMENT_NAMES) { "unknown document: $name" }
            val lastVersion = written[name]?.version ?: TableVersion.NONE
            val published = Published(name, TableVersion(lastVersion.value + 1), value)
            written[name] = published
            publishUnlessStale()
            published
        }

    /** Stops or resumes the flow of changes to readers. */
    public fun setStale(stale: Boolean): Unit =
        synchronized(this) {
            this.stale = stale
            publishUnlessStale()
        }

    /** Returns the state of a document that readers see, or null when it has none. */
    public fun getOrNull(name: String): Published<JsonElement>? = readable.value[name]

    /** Returns the present state of a document, null when it has none, and then its changes. */
    public fun changesOf(name: String): Flow<Published<JsonElement>?> = readable.map { it[name] }

    private fun publishUnlessStale() {
        if (!stale) readable.value = written.toMap()
    }
}
