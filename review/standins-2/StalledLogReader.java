import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The reader of the output of a process stops for a while; the process takes bookings all the while. */
final class StalledLogReader {
    private static final int BOOKERS = 30;
    private static final long PAUSE_MILLIS = 70;
    private static final long STALL_MILLIS = 40_000;
    private static final long TIMEOUT_MILLIS = 1_500;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], StalledLogReader::isBroken);
    }

    private static boolean isBroken(Trial trial) throws Exception {
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        for (int i = 1; i <= 3; i++) {
            trial.add(new Engine(trial, store, "i-desk-" + i, Config.DESK, "cleveland", Engine.plain(5, 800)));
        }
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2");
        Daemon daemon = trial.add(new Daemon(trial, store, ports, 1, "cleveland", seeds));
        trial.add(new Daemon(trial, store, ports, 2, "cleveland", seeds));
        daemon.awaitReady();
        Trial.sleep(4_000);

        AtomicInteger answered = new AtomicInteger();
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger held = new AtomicInteger();
        double endMillis = trial.now() + STALL_MILLIS + 5_000;
        for (int i = 0; i < BOOKERS; i++) {
            Trial.start("booker", () -> {
                while (trial.now() < endMillis) {
                    try (Client client = new Client(daemon.front())) {
                        client.socket.setSoTimeout((int) TIMEOUT_MILLIS + 600);
                        while (trial.now() < endMillis) {
                            String id = Client.newId();
                            double sentMillis = trial.now();
                            client.send("POST", Config.BOOKING, id, TIMEOUT_MILLIS, "", new byte[600]);
                            boolean isAnswered;
                            try {
                                Http answer = client.read();
                                isAnswered = answer != null && answer.isComplete;
                            } catch (SocketTimeoutException e) {
                                isAnswered = false;
                            }
                            double tookMillis = trial.now() - sentMillis;
                            if (isAnswered) answered.incrementAndGet();
                            if (tookMillis > TIMEOUT_MILLIS) overdue.incrementAndGet();
                            if (tookMillis > TIMEOUT_MILLIS + 500) {
                                held.incrementAndGet();
                                trial.note("booking %s: no answer for %.0f ms", id, tookMillis);
                            }
                            if (!isAnswered) break;
                            Trial.sleep(PAUSE_MILLIS);
                        }
                    } catch (IOException e) {
                        trial.note("a caller of bookings: %s", e);
                        Trial.sleep(500);
                    }
                }
            });
        }
        if (trial.hasTrouble) {
            daemon.isOutputStalled = true;
            trial.note("the reader of the output of %s stops", daemon.name);
        }
        double stallEndMillis = trial.now() + STALL_MILLIS;
        while (trial.now() < stallEndMillis) {
            Trial.sleep(2_000);
            trial.note("%d bookings answered; says ready: %b", answered.get(), daemon.isReady());
        }
        daemon.isOutputStalled = false;
        trial.note("the output of %s is read", daemon.name);
        Trial.sleep(5_000);
        trial.note("%d bookings answered; says ready: %b", answered.get(), daemon.isReady());
        trial.note("bookings unanswered at their timeout of %d ms: %d; half a second later: %d", TIMEOUT_MILLIS,
            overdue.get(), held.get());
        return held.get() >= 8 && held.get() * 4 > overdue.get();
    }
}
