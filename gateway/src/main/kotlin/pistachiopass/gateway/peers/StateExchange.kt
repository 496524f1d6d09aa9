/**
 * Exchanges the published state with other instances: subscribes to some of them, serves those that subscribe here, and
 * starts the own watch of the store when it is needed.
 */
package pistachiopass.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.monotonicMillis
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.PublishedState
import pistachiopass.gateway.state.StateWatch
import pistachiopass.membership.GossipMembership
import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.published.FeedAction
import pistachiopass.published.FeedSubscription
import pistachiopass.published.FeedSubscriptions
import pistachiopass.published.FeedUpdate
import pistachiopass.published.PublishedChanges
import pistachiopass.published.Revision
import pistachiopass.published.StateFeed
import pistachiopass.published.WatchDuty
import pistachiopass.published.WatchPeers
import pistachiopass.published.WatchPlan
import pistachiopass.published.actionOf
import kotlin.random.Random

/** Sends the messages of a [StateExchange]. */
internal interface StateLinks {
    fun subscribe(source: MemberHost, subscription: FeedSubscription)

    fun update(reader: MemberHost, update: FeedUpdate)

    /** Fetches what [source] has beyond the position of this instance. */
    suspend fun fetch(source: MemberHost): FetchResult

    /** Returns what [source] believes against the store, or null if it did not respond in time. */
    suspend fun fetchHeldOrNull(source: MemberHost): PeerState?
}

/** The published state [changes] of another instance, which was current [ageMillis] before its response. */
@Serializable
internal class PeerState(
    @SerialName("c") val changes: PublishedChanges,
    @SerialName("a") val ageMillis: Long,
)

/** Clocks and randomness of a [StateExchange], and the log that it writes. */
internal class ExchangeRuntime(
    val clock: AgeClock,
    val monotonicMillis: () -> Long = ::monotonicMillis,
    val random: Random = Random.Default,
    val log: EventLog = EventLog,
)

/** Keeps [state] current with the help of the instances in [membership]. Confined to the event loop. */
internal class StateExchange(
    private val membership: GossipMembership,
    private val state: PublishedState,
    private val watch: StateWatch,
    private val links: StateLinks,
    runtime: ExchangeRuntime,
    scope: CoroutineScope,
) {
    private val clock = runtime.clock
    private val log = runtime.log
    private val freshness = state.knownState.freshness
    private val duty =
        WatchDuty(membership.self.host, membership.self.dataCentre.value, clock::nowMillis, runtime.random)
    private val feed = StateFeed<MemberHost>(state.log, freshness::ageMillisOrNull, runtime.monotonicMillis)
    private val subscriptions = FeedSubscriptions<MemberHost>(clock::nowMillis, random = runtime.random)
    private var plan = WatchPlan<MemberHost>(watchesStore = false, isOnDuty = false, emptyList())
    private var knownMembers: List<Member> = emptyList()
    private var watchPeers = WatchPeers<MemberHost>(emptyList(), emptyList())
    private var fedMillis = Long.MIN_VALUE
    private val fetch = StateFetch(state, links, runtime, scope, { plan.sources }, ::onFetched)
    private val holds = HoldExchange(state, links, clock, scope)

    /** Whether others were asked for what they know beyond the store, or there was time for it. */
    val isStartDone: Boolean get() = holds.isDone

    init {
        watch.onConfirmed = {
            holds.tick(others())
            updateReaders()
        }
    }

    /** Renews the subscriptions, and starts or stops the own watch; to be called several times a second. */
    fun tick() {
        state.expireHolds()
        holds.tick(others())
        val isFed = clock.nowMillis() - fedMillis <= FED_MILLIS
        val next = duty.plan(watchPeers(), freshness.ageMillisOrNull(), isFed, subscriptions::isSilent)
        if (next.watchesStore != plan.watchesStore) {
            log.log(
                Event.STORE_WATCH_CHANGED,
                field("watches", next.watchesStore),
                field("proofAgeMillis", freshness.ageMillisOrNull() ?: -1),
                field("sources", next.sources.size),
                field("readers", feed.readers),
            )
        }
        plan = next
        watch.want(next.watchesStore, next.isOnDuty)
        subscriptions.subscribe(next.sources, state.position).forEach { (source, subscription) ->
            links.subscribe(source, subscription)
        }
    }

    private fun others(): List<MemberHost> = membership.live.map { it.host }

    private fun watchPeers(): WatchPeers<MemberHost> {
        if (membership.live !== knownMembers) {
            knownMembers = membership.live
            val (local, others) = knownMembers.partition { it.dataCentre == membership.self.dataCentre }
            watchPeers = WatchPeers(local.map { it.host }, others.map { it.host })
        }
        return watchPeers
    }

    fun onSubscribe(reader: MemberHost, subscription: FeedSubscription) {
        feed.subscribe(reader, subscription).forEach { links.update(reader, it) }
    }

    fun onUpdate(source: MemberHost, update: FeedUpdate) {
        val confirmedMillis = subscriptions.confirmedMillisOrNull(source, update) ?: return
        apply(PublishedChanges(update.position, isFull = false, update.items), update.base, confirmedMillis, source)
    }

    /** Applies the [changes] after [base] that [source] told, or fetches them again if more than these are missing. */
    private fun apply(changes: PublishedChanges, base: Revision?, confirmedMillis: Long, source: MemberHost) {
        when (actionOf(state.position, base, changes.position)) {
            FeedAction.APPLY -> apply(changes, confirmedMillis)
            FeedAction.CONFIRM -> {
                state.believe(changes.items)
                apply(changes.withoutItems(), confirmedMillis)
            }
            FeedAction.FETCH -> {
                if (state.applySome(changes.items, confirmedMillis) > 0) updateReaders()
                fetch.start(source)
            }
            FeedAction.IGNORE -> Unit
        }
    }

    private fun onFetched(fetched: FetchedState) {
        val peerState = fetched.peerState
        if (!isUsable(peerState)) return
        val confirmedMillis = fetched.requestedAtMillis - peerState.ageMillis
        val base = fetched.base.takeUnless { peerState.changes.isFull }
        apply(peerState.changes, base, confirmedMillis, fetched.source)
    }

    /** An instance without state takes an old one only if the store does not give it a current one. */
    private fun isUsable(peerState: PeerState): Boolean =
        state.position != null || peerState.ageMillis <= FIRST_STATE_AGE_MAX_MILLIS || watch.isFailing

    private fun apply(changes: PublishedChanges, confirmedMillis: Long) {
        if (state.position == null) holds.onStateFromPeer()
        fedMillis = maxOf(fedMillis, confirmedMillis)
        val before = state.position
        val mayChange = changes.isFull || changes.items.isNotEmpty() || before != changes.position
        val confirmation = state.applyAndConfirm(changes.takeIf { mayChange }, confirmedMillis)
        if (confirmation.changed > 0 || confirmation.isNews || state.position != before) updateReaders()
    }

    private fun updateReaders(): Unit = feed.updates().forEach { (reader, update) -> links.update(reader, update) }
}

private fun PublishedChanges.withoutItems() = PublishedChanges(position, isFull = false, emptyList())

/** Age up to which the state of other instances alone is fresh; above two long polls of a watcher. */
private const val FED_MILLIS: Long = 1_500

/** Age up to which an instance without state takes that of another; the state is good for API keys for longer. */
private const val FIRST_STATE_AGE_MAX_MILLIS: Long = 2_000
