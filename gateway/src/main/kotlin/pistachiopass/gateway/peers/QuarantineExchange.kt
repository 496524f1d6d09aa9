/** Exchanges evidence against prompt parts, and their quarantines, with the other instances. */
package pistachiopass.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.gateway.state.AgeClock
import pistachiopass.membership.GossipMembership
import pistachiopass.membership.MemberHost
import pistachiopass.quarantine.PartQuarantine
import pistachiopass.quarantine.QuarantineDatagram
import pistachiopass.quarantine.QuarantineGossip
import pistachiopass.quarantine.QuarantineMessage

/** Sends what changes in [quarantine] over [channel]. Confined to the event loop. */
internal class QuarantineExchange(
    quarantine: PartQuarantine,
    membership: GossipMembership,
    private val channel: PeerChannel,
    clock: AgeClock,
    private val scope: CoroutineScope,
) {
    private val gossip = QuarantineGossip(quarantine, { membership.live.map { it.host } }, clock::nowMillis)
    private var hasNews = false

    init {
        quarantine.onNews = ::sendSoon
    }

    /** Sends what is due; to be called several times a second. */
    fun tick(): Unit = send(gossip.tick())

    fun receive(sender: MemberHost, message: QuarantineMessage): Unit = send(gossip.receive(sender, message))

    private fun sendSoon() {
        if (hasNews) return
        hasNews = true
        scope.launch {
            delay(NEWS_DELAY_MILLIS)
            hasNews = false
            tick()
        }
    }

    private fun send(datagrams: List<QuarantineDatagram<MemberHost>>): Unit =
        datagrams.forEach { channel.send(it.to, QuarantineDocument(it.message)) }
}

/** Time for which news are gathered: all requests on an endpoint that ends break off within a few milliseconds. */
private const val NEWS_DELAY_MILLIS: Long = 10
