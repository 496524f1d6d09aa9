/** A part of an outside document that could not be read. */
package pistachiopass.model

import kotlinx.serialization.Serializable

/**
 * Names a part of a document by its [path], in the terms of the document, and says in one word what is wrong with it.
 *
 * Neither quotes a value of the document, which may be a key.
 */
@Serializable
public data class UnreadPart(val path: String, val problem: String) {
    override fun toString(): String = "$path: $problem"
}
