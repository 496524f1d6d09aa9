import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A full engine turns a request away and states for how long it wants nothing from the machine. */
final class PausingEngine {
    private static final int PAUSE_SECONDS = 4;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], PausingEngine::isBroken);
    }

    private static boolean isBroken(Trial trial) throws Exception {
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        double[] pausedMillis = {Double.MAX_VALUE};
        boolean[] isFull = {false};
        AtomicInteger during = new AtomicInteger();
        for (int i = 1; i <= 3; i++) {
            boolean mayPause = i == 1;
            trial.add(new Engine(trial, store, "i-desk-" + i, Config.DESK, "cleveland", (engine, request, socket, out) -> {
                if (mayPause && isFull[0]) {
                    String headers = "X-Pistachiopass-Not-Executed: 1\r\n";
                    if (pausedMillis[0] == Double.MAX_VALUE) {
                        pausedMillis[0] = trial.now();
                        headers += "Retry-After: " + PAUSE_SECONDS + "\r\n";
                        trial.note("%s answers 503 with Retry-After: %d", engine.id, PAUSE_SECONDS);
                    }
                    double afterMillis = trial.now() - pausedMillis[0];
                    if (afterMillis > 500 && afterMillis < PAUSE_SECONDS * 1_000) {
                        trial.note("a request reaches %s %.0f ms later", engine.id, afterMillis);
                        during.incrementAndGet();
                    }
                    if (afterMillis > PAUSE_SECONDS * 1_000) isFull[0] = false;
                    engine.answer(out, request, "503 Service Unavailable", headers, new byte[0]);
                    return;
                }
                Engine.plain(30, 800).run(engine, request, socket, out);
            }));
        }
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2");
        Daemon daemon = trial.add(new Daemon(trial, store, ports, 1, "cleveland", seeds));
        daemon.awaitReady();
        Trial.sleep(4_000);
        for (int i = 0; i < 10; i++) {
            Trial.start("booker", () -> {
                try (Client client = new Client(daemon.front())) {
                    while (true) {
                        client.send("POST", Config.BOOKING, Client.newId(), 1_500, "", new byte[600]);
                        client.read();
                        Trial.sleep(200);
                    }
                }
            });
        }
        Trial.sleep(2_000);
        isFull[0] = trial.hasTrouble;
        Trial.sleep(6_000);
        trial.note("requests that reached the engine in its pause, later than 0.5 s: %d", during.get());
        return during.get() > 2;
    }
}
