import java.util.List;

/** An engine that runs bookings and fails part of them with a status that the system's own answers use as a promise. */
final class FailingBookings {
    private static final int BOOKINGS = 100;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], FailingBookings::isBroken);
    }

    private static boolean isBroken(Trial trial) throws Exception {
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        Engine.Handler sound = Engine.plain(30, 800);
        for (int i = 1; i <= 3; i++) {
            boolean isFailing = i == 1;
            trial.add(new Engine(trial, store, "i-desk-" + i, Config.DESK, "cleveland", (engine, request, socket, out) -> {
                // Two in five, below the largest share of the site file.
                if (isFailing && engine.runs.get() % 5 < 2) {
                    Trial.sleep(30);
                    // The booking is made; only then the engine fails. It does not say that it has not run it.
                    String status = trial.hasTrouble ? "503 Service Unavailable" : "500 Internal Server Error";
                    engine.answer(out, request, status, engine.stamp(), Http.bytes("connection to the audit log lost"));
                } else {
                    sound.run(engine, request, socket, out);
                }
            }));
        }
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2");
        Daemon daemon = trial.add(new Daemon(trial, store, ports, 1, "cleveland", seeds));
        trial.add(new Daemon(trial, store, ports, 2, "cleveland", seeds));
        daemon.awaitReady();
        Trial.sleep(4_000);

        int broken = 0;
        for (int i = 0; i < BOOKINGS; i++) {
            try (Client client = new Client(daemon.front())) {
                String id = Client.newId();
                client.send("POST", Config.BOOKING, id, 1_500, "", new byte[600]);
                Http answer = client.read();
                int runs = trial.engines.stream().mapToInt(e -> e.runsById.getOrDefault(id, 0)).sum();
                boolean isPromise = List.of(408, 421, 429, 503).contains(answer.status());
                trial.note("booking %s: answered %s, has run %d times", id, answer.first, runs);
                if (isPromise && runs > 0) {
                    broken++;
                    // What a client does that goes by the promise.
                    String retry = Client.newId();
                    try (Client other = new Client(daemon.front())) {
                        other.send("POST", Config.BOOKING, retry, 1_500, "", new byte[600]);
                        trial.note("the client sends the same booking again as %s: %s", retry, other.read().first);
                    }
                }
            }
            Trial.sleep(50);
        }
        trial.note("bookings that were answered 408, 421, 429 or 503 and had run: %d of %d", broken, BOOKINGS);
        return broken > 0;
    }
}
