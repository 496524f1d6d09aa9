import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients read large answers slowly for four seconds, and fast after that, while their instance is stopped with
 * SIGTERM. Without the disruption the instance runs on.
 */
final class StopSlowReader implements Run.Case {
    private static final int CLIENTS = 5;
    private static final int ANSWER_BYTES = 4_190_000;
    private static final long BYTES_PER_SECOND = 20_000;
    private static final long SLOW_MILLIS = 4_000;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        var answers = new ConcurrentHashMap<String, Client.Answer>();
        try (Fleet fleet = new Fleet(1, record); Store store = new Store(fleet.storeHost, fleet.storePort())) {
            store.put("op/config", Config.of(7, 15_000));
            byte[] body = new byte[ANSWER_BYTES];
            Arrays.fill(body, (byte) 'x');
            new Engine("i-1", "127.0.2.1", fleet.port + 30, Config.PLAIN, Fleet.ZONES[0], store, 0, exchange -> {
                exchange.readBody();
                record.log("engine i-1 runs " + exchange.request.id());
                exchange.answer(200, body);
                record.log("engine i-1 has answered " + exchange.request.id() + " in full");
            });
            fleet.start(0);
            if (!fleet.awaitReady(0, 30)) throw new IllegalStateException("not ready");
            List<Thread> threads = new ArrayList<>();
            for (int number = 0; number < CLIENTS; number++) {
                String id = "slow" + number;
                threads.add(Threads.start(() -> {
                    try (Client client = new Client(Fleet.host(0), fleet.callerPort(), 16_384, 12_000)) {
                        client.send("POST", Config.BOOKING_PATH + "2f", id, 14_000, Config.KEY, "", new byte[600]);
                        record.log("client sent " + id);
                        answers.put(id, client.receive(BYTES_PER_SECOND, SLOW_MILLIS));
                        record.log("client got for " + id + ": " + answers.get(id));
                    }
                }));
            }
            Thread.sleep(500);
            if (hasTrouble) fleet.terminate(0);
            for (Thread thread : threads) thread.join(15_000);
        }
        if (answers.size() < CLIENTS) throw new IllegalStateException("clients without a result");
        long lost = answers.values().stream().filter(it -> !it.isWhole()).count();
        record.log(lost + " of " + CLIENTS + " answers that the engine had given in full were cut");
        return lost > 0;
    }
}
