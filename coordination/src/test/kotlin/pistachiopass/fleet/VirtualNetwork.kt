/** A network of instances in virtual time, driven by one seed: delays, losses, cuts and pauses. */
package pistachiopass.fleet

import java.util.PriorityQueue
import kotlin.random.Random

/** Delivers messages of type [M] between hosts of type [H]. */
internal class VirtualNetwork<H : Any, M : Any>(
    seed: Int,
    private val lossPercent: Int = 0,
    private val delayMillis: IntRange = 1..5,
) {
    private class Step(val atMillis: Long, val order: Long, val run: () -> Unit)

    val random = Random(seed)
    var nowMillis = 0L
        private set

    /** Is true for a pair of hosts between which nothing is delivered in this direction. */
    var isCut: (H, H) -> Boolean = { _, _ -> false }
    private val receivers = HashMap<H, (H, M) -> Unit>()
    private val pausedUntil = HashMap<H, Long>()
    private val steps = PriorityQueue(compareBy<Step>({ it.atMillis }, { it.order }))
    private var order = 0L

    fun at(atMillis: Long, run: () -> Unit) {
        steps += Step(maxOf(atMillis, nowMillis), order++, run)
    }

    /** Runs [run] on [host] each [periodMillis], late if it is paused, until its next [connect] or [disconnect]. */
    fun each(host: H, periodMillis: Long, run: () -> Unit): Unit = each(host, periodMillis, receivers[host], run)

    private fun each(host: H, periodMillis: Long, receiver: Any?, run: () -> Unit) {
        val resumeMillis = pausedUntil[host] ?: 0
        at(maxOf(nowMillis + periodMillis, resumeMillis)) {
            if (receivers[host] === receiver) {
                if ((pausedUntil[host] ?: 0) <= nowMillis) run()
                each(host, periodMillis, receiver, run)
            }
        }
    }

    fun connect(host: H, receive: (H, M) -> Unit) {
        receivers[host] = receive
    }

    fun disconnect(host: H) {
        receivers -= host
    }

    /** Stops [host] until [untilMillis]; what arrives meanwhile is read afterwards. */
    fun pause(host: H, untilMillis: Long) {
        pausedUntil[host] = untilMillis
    }

    fun send(from: H, to: H, message: M) {
        if (isCut(from, to) || random.nextInt(PERCENT) < lossPercent) return
        at(nowMillis + random.nextInt(delayMillis.first, delayMillis.last + 1)) { deliver(from, to, message) }
    }

    fun runUntil(endMillis: Long) {
        while (steps.isNotEmpty() && steps.peek().atMillis <= endMillis) {
            val step = steps.remove()
            nowMillis = step.atMillis
            step.run()
        }
        nowMillis = endMillis
    }

    private fun deliver(from: H, to: H, message: M) {
        val resumeMillis = pausedUntil[to] ?: 0
        if (resumeMillis > nowMillis) {
            at(resumeMillis) { deliver(from, to, message) }
        } else {
            receivers[to]?.invoke(from, message)
        }
    }
}

private const val PERCENT = 100
