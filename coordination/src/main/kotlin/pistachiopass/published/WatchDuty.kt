/**
 * Decides which instances watch the store and from which others an instance takes the published state.
 *
 * In each data centre the first [WatchSettings.watchers] instances in rendezvous order over the members watch the
 * store; the others subscribe to them. Nobody is elected and nobody has to agree: several views of the members cost
 * additional calls at most. What has to hold depends on the age of the state alone. An instance whose state gets older
 * than [WatchSettings.ownWatchAgeMillis], for whatever reason, watches the store itself and asks instances of other
 * data centres too, until it has had fresh state from others for a while.
 *
 * Keeps the calls to the store proportional to the data centres; a fleet with few instances in each watches as before.
 */
package pistachiopass.published

import pistachiopass.routing.rankedFor
import kotlin.random.Random

/** Numbers of sources and limits of ages. */
public data class WatchSettings(
    /** Instances of each data centre that watch the store; two, so that one may fail unnoticed. */
    public val watchers: Int = 2,
    /** Age of the state above which any instance watches the store itself; above two long polls in a row. */
    public val ownWatchAgeMillis: Long = 1_500,
    /** Random addition to the times here, so that instances do not call at the same moment. */
    public val spreadMillis: Long = 200,
    /** Time with fresh state from others after which an instance ends its own watch. */
    public val calmMillis: Long = 3_000,
    /** Time after the start for which a watcher, or an instance that knows no other, waits for a first state. */
    public val watcherPatienceMillis: Long = 300,
    /** The same for other instances: the watchers of a fleet that starts as a whole read the store first. */
    public val readerPatienceMillis: Long = 1_200,
    /** Instances of any data centre that are asked while the state is old. */
    public val helpers: Int = 2,
)

/** The members of the fleet that an instance knows at the moment, without itself. */
public class WatchPeers<S : Any>(public val local: Collection<S>, public val others: Collection<S>) {
    internal val isEmpty: Boolean get() = local.isEmpty() && others.isEmpty()
}

/** What an instance does to keep its state current; others rely on its watch if it [isOnDuty]. */
public data class WatchPlan<S : Any>(val watchesStore: Boolean, val isOnDuty: Boolean, val sources: List<S>)

/** Makes the plans of the instance [self] in the data centre [dataCentre]. Confined to one thread. */
public class WatchDuty<S : Any>(
    private val self: S,
    private val dataCentre: String,
    private val nowMillis: () -> Long,
    private val random: Random = Random.Default,
    private val settings: WatchSettings = WatchSettings(),
) {
    private val startedMillis = nowMillis()
    private val spreadMillis = random.nextLong(settings.spreadMillis + 1)
    private var watchUntilMillis = Long.MIN_VALUE
    private var rankedMembers: Collection<S>? = null
    private var ranked: List<S> = emptyList()

    /**
     * Returns the plan for now. [ageMillis] is the age of the state, null if there is none; [isFed] tells whether other
     * instances alone keep it young. Sources for which [isSilent] is true are replaced by the next ones in order.
     */
    public fun plan(peers: WatchPeers<S>, ageMillis: Long?, isFed: Boolean, isSilent: (S) -> Boolean): WatchPlan<S> {
        val now = nowMillis()
        val ranked = rankedOf(peers.local)
        val isWatcher = ranked.take(settings.watchers).contains(self)
        val isOld = if (ageMillis == null) isStartOver(now, isWatcher, peers) else ageMillis > oldMillis()
        val isOnDuty = isWatcher && ageMillis != null
        val goesOn = now < watchUntilMillis && !isFed
        if (isOld || isOnDuty || goesOn) watchUntilMillis = now + settings.calmMillis
        val sources = if (isOnDuty && !isOld) emptyList() else sourcesOf(ranked, isSilent)
        val helpers = if (isOld) (peers.local + peers.others).shuffled(random).take(settings.helpers) else emptyList()
        return WatchPlan(now < watchUntilMillis, isWatcher, (sources + helpers).distinct())
    }

    /** Ranks anew only when the caller passes another collection than before; most calls pass the same one. */
    private fun rankedOf(local: Collection<S>): List<S> {
        if (local !== rankedMembers) {
            rankedMembers = local
            ranked = (local + self).rankedFor("watch/$dataCentre") { it.toString() }
        }
        return ranked
    }

    private fun oldMillis(): Long = settings.ownWatchAgeMillis + spreadMillis

    private fun isStartOver(now: Long, isWatcher: Boolean, peers: WatchPeers<S>): Boolean {
        val waitsShortly = isWatcher || peers.isEmpty
        val patienceMillis = if (waitsShortly) settings.watcherPatienceMillis else settings.readerPatienceMillis
        return now - startedMillis > patienceMillis + spreadMillis
    }

    private fun sourcesOf(ranked: List<S>, isSilent: (S) -> Boolean): List<S> {
        val (silent, answering) = ranked.filter { it != self }.partition(isSilent)
        return answering.take(settings.watchers) + silent.take(SILENT_SOURCES_MAX)
    }
}

/** Silent sources that are asked further on, so that they are used again once they answer. */
private const val SILENT_SOURCES_MAX: Int = 4
