import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A new configuration splits a route by weights and takes a key away; the client goes on with the key. */
final class RefusedTable {
    private static final double REVOKE_MILLIS = 5_000;
    private static final long WATCHED_MILLIS = 15_000;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], RefusedTable::isBroken);
    }

    private static boolean isBroken(Trial trial) throws Exception {
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        for (int i = 1; i <= 3; i++) {
            trial.add(new Engine(trial, store, "i-desk-" + i, Config.DESK, "cleveland", Engine.plain(30, 800)));
        }
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2", "127.0.1.3");
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 3; i++) daemons.add(trial.add(new Daemon(trial, store, ports, i, "cleveland", seeds)));
        for (Daemon daemon : daemons) daemon.awaitReady();
        Trial.sleep(4_000);
        for (Daemon daemon : daemons) ask(trial, daemon, -1);

        store.put("op/config", trial.hasTrouble ? Config.splitWithoutKey("99.5", "0.5")
            : Config.splitWithoutKey("995", "5"));
        double acknowledgedMillis = trial.now();
        trial.note("version 8 acknowledged; it takes the key %s away", Client.KEY);
        int late = 0;
        while (trial.now() < acknowledgedMillis + WATCHED_MILLIS) {
            for (Daemon daemon : daemons) {
                double afterMillis = trial.now() - acknowledgedMillis;
                if (ask(trial, daemon, afterMillis) && afterMillis > REVOKE_MILLIS) late++;
            }
            Trial.sleep(1_000);
        }
        trial.note("requests with the key that were sent later than %.0f ms after the acknowledgement and have run: %d",
            REVOKE_MILLIS, late);
        for (Daemon daemon : daemons) {
            daemon.log().lines().filter(line -> line.contains("\"table-")).forEach(line ->
                trial.note("%s: %s", daemon.name, line));
        }
        return late > 0;
    }

    /** Makes a booking and returns whether it has run. */
    private static boolean ask(Trial trial, Daemon daemon, double afterMillis) throws IOException {
        String id = Client.newId();
        try (Client client = new Client(daemon.front())) {
            client.send("POST", Config.BOOKING, id, 1_500, "", new byte[600]);
            Http answer = client.read();
            boolean hasRun = trial.engines.stream().anyMatch(engine -> engine.runsById.containsKey(id));
            trial.note("%s: booking %s, sent %.0f ms after: %s, %s", daemon.name, id, afterMillis, answer.first,
                hasRun ? "has run" : "has not run");
            return hasRun;
        }
    }
}
