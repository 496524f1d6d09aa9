/** Reading of JSON as others write it. */
package pistachiopass.model

/** Returns this JSON text without a byte order mark, which a reader may ignore (RFC 8259, section 8.1). */
public fun String.withoutByteOrderMark(): String = removePrefix("\uFEFF")
