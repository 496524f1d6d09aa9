/** Ports for the processes of a fleet. */
package pistachiopass.proof.harness

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Takes ports that no process listens on at the moment.
 *
 * They lie below the ephemeral ports: between the choice of an ephemeral port and the start of the process that listens
 * on it, the system may give that port to an outgoing connection of any process.
 */
public class FreePorts(private val random: Random = Random.Default) {
    private val taken: MutableSet<Int> = HashSet()

    /** Returns a port that was not returned before. */
    public fun next(): Int = generateSequence { random.nextInt(FIRST_PORT, FIRST_EPHEMERAL_PORT) }
        .first { it !in taken && isFree(it) }
        .also { taken += it }

    /** Returns a loopback address with a port that was not returned before. */
    public fun address(): String = "127.0.0.1:${next()}"

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}

private const val FIRST_PORT: Int = 10_240

/** First port that Linux gives to outgoing connections by default. */
private const val FIRST_EPHEMERAL_PORT: Int = 32_768
