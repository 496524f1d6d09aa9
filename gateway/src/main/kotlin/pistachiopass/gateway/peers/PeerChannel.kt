/** The UDP socket over which an instance exchanges messages with the others. */
package pistachiopass.gateway.peers

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.http.awaitChannel
import pistachiopass.gateway.model.Address
import pistachiopass.membership.MemberHost
import java.net.InetSocketAddress

/** Sends messages to the port of [own] on other hosts as [traffic] admits, and passes those received to a handler. */
internal class PeerChannel(private val own: Address, private val traffic: PeerTraffic) {
    private var channel: Channel? = null
    private var malformedCount = 0

    /** Binds the port; [onMessage] gets each message with its sender. */
    suspend fun open(eventLoop: EventLoop, onMessage: (MemberHost, PeerMessage) -> Unit) {
        channel = Bootstrap()
            .group(eventLoop)
            .channel(NioDatagramChannel::class.java)
            .handler(Inbound(onMessage))
            .bind(own.host, own.port)
            .awaitChannel()
    }

    fun send(host: MemberHost, message: PeerMessage): Unit = send(listOf(host), message)

    fun send(hosts: Collection<MemberHost>, message: PeerMessage) {
        val target = channel ?: return
        val bytes = encode(message)
        hosts.filter { traffic.admit(message.kind, bytes.size) }.forEach { host ->
            target.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(host.value, own.port)))
        }
        target.flush()
    }

    /** Logs how many malformed datagrams came since the last call, if any. */
    fun logMalformed() {
        if (malformedCount > 0) {
            EventLog.log(Event.PEER_REFUSED, tokenField("reason", "malformed"), field("count", malformedCount))
        }
        malformedCount = 0
    }

    private inner class Inbound(private val onMessage: (MemberHost, PeerMessage) -> Unit) :
        SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val sender = MemberHost(packet.sender().address.hostAddress)
            val message = decodeOrNull(ByteBufUtil.getBytes(packet.content()))
            if (message == null) malformedCount++ else onMessage(sender, message)
        }

        @Deprecated("inherited")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            EventLog.log(Event.PEER_UNREACHABLE, field("error", cause))
        }
    }
}
