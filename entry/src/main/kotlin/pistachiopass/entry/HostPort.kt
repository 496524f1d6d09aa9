/** Addresses of the form `host:port`. */
package pistachiopass.entry

/** Host and port of [address], which must be a valid `host:port`. */
internal class HostPort(address: String) {
    val host: String = address.substringBeforeLast(':')
    val port: Int = address.substringAfterLast(':').toInt()
}
