/** Addresses of the form `host:port`. */
package pistachiopass.entry

/** Splits [address], which has been checked to be `host:port`. */
internal class HostPort(address: String) {
    val host: String = address.substringBeforeLast(':')
    val port: Int = address.substringAfterLast(':').toInt()
}
