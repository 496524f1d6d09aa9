/**
 * The handshake, in which two instances authenticate each other by a shared key and exchange their identities.
 *
 * The connecting side sends its hello, the accepting side its hello with a proof, the connecting side its proof, and
 * the accepting side the first signed frame. A proof is an HMAC with the shared key over both hellos, and the session
 * keys are derived in the same way, so that an altered hello is detected. Each hello holds a fresh nonce, so that a
 * recorded handshake cannot be replayed.
 */
package pistachiopass.entry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.peer.IncarnationRegistry
import pistachiopass.peer.PeerCbor
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.decodePeerCborOrNull
import pistachiopass.peer.isWellFormed
import java.security.MessageDigest
import java.security.SecureRandom

/** The reason why a handshake failed. */
internal enum class HandshakeError {
    /** The connection was closed or lost, or the handshake timed out. */
    LOST,

    /** A message is too long or cannot be decoded. */
    MALFORMED,

    /** The peer uses another version of the protocol. */
    OTHER_VERSION,

    /** The peer does not know the shared key, or a message was altered. */
    NOT_PROVEN,

    /** The instance at the address is not the expected one. */
    OTHER_INSTANCE,

    /** A newer incarnation of one of the two instances is known to the other. */
    EARLIER_LIFE,

    /** Too many accepted connections have not completed their handshake yet. */
    TOO_MANY,
}

/** The result of a handshake: the authenticated peer, and signer and verifier for the frames. */
internal class AuthenticatedChannel(
    val connection: ByteConnection,
    val peer: PeerIdentity,
    val signer: FrameSigner,
    val verifier: FrameVerifier,
)

/** Performs handshakes as the instance [self]. */
internal class Handshake(
    private val self: PeerIdentity,
    private val sharedKey: ByteArray,
    private val incarnations: IncarnationRegistry,
) {
    private val secureRandom: SecureRandom = SecureRandom()

    init {
        require(sharedKey.size >= MIN_KEY_BYTES) {
            "shared key has ${sharedKey.size} bytes; the minimum is $MIN_KEY_BYTES bytes"
        }
    }

    /** Authenticates both sides of a connection that this side opened; fails unless the peer is [expected]. */
    suspend fun connect(
        connection: ByteConnection,
        expected: InstanceId,
    ): Result<AuthenticatedChannel, HandshakeError> {
        val reader = FrameReader(connection)
        val ownHello = encodedHello()
        connection.write(lengthPrefixed(ownHello))
        return reader.readHandshakeFrame()
            .flatMap { answer -> checkAnswer(connection, ownHello, answer) }
            .flatMap { (channel, proof) ->
                when {
                    channel.peer.instance != expected -> Err(HandshakeError.OTHER_INSTANCE)
                    !incarnations.admit(channel.peer.instance, channel.peer.startId) -> Err(HandshakeError.EARLIER_LIFE)
                    else -> finish(channel, proof, reader)
                }
            }
    }

    /** Authenticates both sides of a connection that the peer opened. */
    suspend fun accept(connection: ByteConnection): Result<AuthenticatedChannel, HandshakeError> {
        val reader = FrameReader(connection)
        return reader.readHandshakeFrame()
            .flatMap { hello -> parseHello(hello) }
            .flatMap { (peer, peerHello) ->
                val ownHello = encodedHello()
                val transcript = transcriptOf(peerHello, ownHello)
                connection.write(lengthPrefixed(ownHello + hmacOf(sharedKey, ACCEPTING_PROOF, transcript)))
                reader.readHandshakeFrame().flatMap { proof ->
                    val expected = hmacOf(sharedKey, CONNECTING_PROOF, transcript)
                    if (MessageDigest.isEqual(expected, proof)) {
                        Ok(channelOf(connection, peer, transcript, isConnecting = false))
                    } else {
                        Err(HandshakeError.NOT_PROVEN)
                    }
                }
            }
            .flatMap { channel -> admit(channel) }
    }

    private suspend fun admit(channel: AuthenticatedChannel): Result<AuthenticatedChannel, HandshakeError> {
        val isNewest = incarnations.admit(channel.peer.instance, channel.peer.startId)
        val answer = if (isNewest) Frame.Welcome else Frame.EarlierIncarnation
        channel.connection.write(channel.signer.sign(encodeFrame(answer)))
        return if (isNewest) Ok(channel) else Err(HandshakeError.EARLIER_LIFE)
    }

    private fun checkAnswer(
        connection: ByteConnection,
        ownHello: ByteArray,
        answer: ByteArray,
    ): Result<Pair<AuthenticatedChannel, ByteArray>, HandshakeError> {
        if (answer.size < MAC_BYTES) return Err(HandshakeError.MALFORMED)
        val peerHello = answer.copyOf(answer.size - MAC_BYTES)
        val transcript = transcriptOf(ownHello, peerHello)
        val expected = hmacOf(sharedKey, ACCEPTING_PROOF, transcript)
        val isAuthentic = MessageDigest.isEqual(expected, answer.copyOfRange(peerHello.size, answer.size))
        val hello = if (isAuthentic) parseHello(peerHello) else Err(HandshakeError.NOT_PROVEN)
        return hello.map { (peer, _) ->
            val proof = hmacOf(sharedKey, CONNECTING_PROOF, transcript)
            channelOf(connection, peer, transcript, isConnecting = true) to proof
        }
    }

    private suspend fun finish(
        channel: AuthenticatedChannel,
        proof: ByteArray,
        reader: FrameReader,
    ): Result<AuthenticatedChannel, HandshakeError> {
        channel.connection.write(lengthPrefixed(proof))
        return reader.readHandshakeFrame().flatMap { signed ->
            when (channel.verifier.verifyOrNull(signed)?.let(::decodeFrameOrNull)) {
                Frame.Welcome -> Ok(channel)
                Frame.EarlierIncarnation -> Err(HandshakeError.EARLIER_LIFE)
                else -> Err(HandshakeError.NOT_PROVEN)
            }
        }
    }

    private fun channelOf(
        connection: ByteConnection,
        peer: PeerIdentity,
        transcript: ByteArray,
        isConnecting: Boolean,
    ): AuthenticatedChannel {
        val connectingKey = hmacOf(sharedKey, CONNECTING_KEY, transcript)
        val acceptingKey = hmacOf(sharedKey, ACCEPTING_KEY, transcript)
        val (own, peers) = if (isConnecting) connectingKey to acceptingKey else acceptingKey to connectingKey
        return AuthenticatedChannel(connection, peer, FrameSigner(own), FrameVerifier(peers))
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun encodedHello(): ByteArray {
        val nonce = ByteArray(NONCE_BYTES).also(secureRandom::nextBytes)
        val hello = Hello(PROTOCOL_VERSION, self.instance, self.dataCentre, self.startId, nonce)
        return PeerCbor.encodeToByteArray(Hello.serializer(), hello)
    }

    private fun parseHello(bytes: ByteArray): Result<Pair<PeerIdentity, ByteArray>, HandshakeError> {
        val hello = decodePeerCborOrNull(Hello.serializer(), bytes)
        return when {
            hello == null || hello.nonce.size != NONCE_BYTES -> Err(HandshakeError.MALFORMED)
            hello.version != PROTOCOL_VERSION -> Err(HandshakeError.OTHER_VERSION)
            !hello.startId.isWellFormed() -> Err(HandshakeError.MALFORMED)
            else -> Ok(PeerIdentity(hello.instance, hello.dataCentre, hello.startId) to bytes)
        }
    }
}

/** The first message of each side. */
@Serializable
private class Hello(
    val version: Int,
    val instance: InstanceId,
    val dataCentre: DataCentreId,
    val startId: StartId,
    val nonce: ByteArray,
)

private suspend fun FrameReader.readHandshakeFrame(): Result<ByteArray, HandshakeError> =
    read(HANDSHAKE_FRAME_BYTES).mapError { error ->
        if (error == FrameError.ENDED) HandshakeError.LOST else HandshakeError.MALFORMED
    }

/** Returns the SHA-256 digest of both hellos, each preceded by its length. */
private fun transcriptOf(connectingHello: ByteArray, acceptingHello: ByteArray): ByteArray {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(lengthPrefixed(connectingHello))
    digest.update(lengthPrefixed(acceptingHello))
    return digest.digest()
}

/** Version of frames and handshake; both sides must use the same version. */
internal const val PROTOCOL_VERSION: Int = 1

/** Minimum length of the shared key. */
internal const val MIN_KEY_BYTES: Int = 32

/** Maximum length of a frame before the peer is authenticated. */
internal const val HANDSHAKE_FRAME_BYTES: Int = 1024

private const val NONCE_BYTES: Int = 32
private val CONNECTING_PROOF: ByteArray = "pistachiopass connecting proof".toByteArray()
private val ACCEPTING_PROOF: ByteArray = "pistachiopass accepting proof".toByteArray()
private val CONNECTING_KEY: ByteArray = "pistachiopass connecting key".toByteArray()
private val ACCEPTING_KEY: ByteArray = "pistachiopass accepting key".toByteArray()
