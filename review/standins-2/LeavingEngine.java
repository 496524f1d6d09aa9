import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine says in all its answers that it leaves, while the store, where its entry says ready, is silent. */
final class LeavingEngine {
    private static final double DRAIN_MILLIS = 2_000;
    private static final long OUTAGE_MILLIS = 4_500;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], LeavingEngine::isBroken);
    }

    private static boolean isBroken(Trial trial) throws Exception {
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        ConcurrentHashMap<String, Double> sentMillis = new ConcurrentHashMap<>();
        double[] passedOnMillis = {Double.MAX_VALUE};
        double[] leavesMillis = {Double.MAX_VALUE};
        AtomicInteger late = new AtomicInteger();
        for (int i = 1; i <= 3; i++) {
            boolean mayLeave = i == 1;
            trial.add(new Engine(trial, store, "i-desk-" + i, Config.DESK, "cleveland", (engine, request, socket, out) -> {
                String id = request.header(Engine.ID);
                String headers = engine.stamp() + "Content-Type: application/json\r\n";
                if (mayLeave && trial.now() > leavesMillis[0]) {
                    headers += "Server-Leaving: 1\r\n";
                    double afterMillis = sentMillis.getOrDefault(id, 0.0) - passedOnMillis[0];
                    if (afterMillis > DRAIN_MILLIS) {
                        late.incrementAndGet();
                        trial.note("%s, which leaves, runs booking %s, sent %.0f ms after the machine had passed on "
                            + "its first answer with Server-Leaving", engine.id, id, afterMillis);
                    }
                }
                Trial.sleep(30);
                engine.answer(out, request, "200 OK", headers, new byte[800]);
            }));
        }
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2");
        Daemon daemon = trial.add(new Daemon(trial, store, ports, 1, "cleveland", seeds));
        trial.add(new Daemon(trial, store, ports, 2, "cleveland", seeds));
        daemon.awaitReady();
        Trial.sleep(4_000);

        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        for (int i = 0; i < 10; i++) {
            Trial.start("booker", () -> {
                while (true) {
                    try (Client client = new Client(daemon.front())) {
                        while (true) {
                            String id = Client.newId();
                            sentMillis.put(id, trial.now());
                            client.send("POST", Config.BOOKING, id, 1_500, "", new byte[600]);
                            Http answer = client.read();
                            if (answer == null) break;
                            (answer.status() == 200 ? served : refused).incrementAndGet();
                            if (answer.header("Server-Leaving") != null && passedOnMillis[0] == Double.MAX_VALUE) {
                                passedOnMillis[0] = trial.now();
                                trial.note("the machine passes on an answer with Server-Leaving");
                            }
                            Trial.sleep(200);
                        }
                    } catch (IOException e) {
                        Trial.sleep(200);
                    }
                }
            });
        }
        Trial.sleep(2_000);
        store.setSilent(true);
        if (trial.hasTrouble) {
            leavesMillis[0] = trial.now();
            trial.note("i-desk-1 begins to leave");
        }
        Trial.sleep(OUTAGE_MILLIS);
        store.setSilent(false);
        if (trial.hasTrouble) trial.engines.get(0).publish("draining");
        Trial.sleep(3_000);
        trial.note("bookings: %d answered, %d refused; %d reached the leaving engine later than %.0f ms", served.get(),
            refused.get(), late.get(), DRAIN_MILLIS);
        return late.get() > 0;
    }
}
