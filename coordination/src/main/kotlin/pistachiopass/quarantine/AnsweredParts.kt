/** Which parts an instance has had answers to. */
package pistachiopass.quarantine

import pistachiopass.model.PromptPartId

/** Remembers when requests with parts were answered last, for the [partsMax] parts answered last. */
internal class AnsweredParts(private val partsMax: Int) {
    private val millisByPart = LinkedHashMap<PromptPartId, Long>()

    fun add(part: PromptPartId, atMillis: Long) {
        millisByPart.remove(part)
        millisByPart[part] = atMillis
        if (millisByPart.size > partsMax) millisByPart.remove(millisByPart.keys.first())
    }

    fun millisOrNull(part: PromptPartId): Long? = millisByPart[part]
}
