import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines answer before they have read a long body, without a length, and close the connection after the body. One
 * answer in twenty is broken off by a reset instead; without the disruption none is.
 */
final class EarlyReset implements Run.Case {
    private static final int REQUESTS = 60;
    private static final int ENGINES = 3;
    private static final int BROKEN_EACH = 20;
    private static final int REQUEST_BYTES = 4_190_000;
    private static final String HALF = "x".repeat(20_000);

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger reset = new AtomicInteger();

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        int broken = 0;
        try (Fleet fleet = new Fleet(1, record); Store store = new Store(fleet.storeHost, fleet.storePort())) {
            store.put("op/config", Config.of(7, 10_000));
            for (int number = 0; number < ENGINES; number++) {
                new Engine("i-" + number, "127.0.2." + (number + 1), fleet.port + 30, Config.PLAIN, fleet.zone(number), store,
                    8_192, exchange -> serve(record, exchange, hasTrouble));
            }
            fleet.start(0);
            if (!fleet.awaitReady(0, 30)) throw new IllegalStateException("not ready");
            for (int number = 0; number < REQUESTS; number++) {
                String id = "early" + number;
                try (Client client = new Client(Fleet.host(0), fleet.callerPort(), 0, 12_000)) {
                    byte[] body = "b".repeat(REQUEST_BYTES).getBytes(StandardCharsets.ISO_8859_1);
                    client.send("POST", Config.BOOKING_PATH + "2f", id, 10_000, Config.KEY, "", body);
                    record.log("client sent " + id);
                    Client.Answer answer = client.receive();
                    record.log("client got for " + id + ": " + answer);
                    if (answer.status() == 200 && answer.isWhole() && answer.body().length != 40_000) broken++;
                    if (!hasTrouble && answer.body().length != 40_000) throw new IllegalStateException("no whole answer");
                }
            }
        }
        record.log(broken + " of " + reset + " answers that an engine broke off, of " + answers
            + " in all, looked complete to the client");
        return broken > 0;
    }

    private void serve(Record record, Engine.Exchange exchange, boolean hasTrouble) throws Exception {
        String id = exchange.request.id();
        boolean breaks = answers.incrementAndGet() % BROKEN_EACH == 0 && hasTrouble;
        record.log("engine " + exchange.engine.id + " begins to run " + id);
        exchange.write(exchange.head(200, "Connection: close\r\n") + HALF);
        Thread.sleep(200);
        if (breaks) {
            reset.incrementAndGet();
            record.log("engine " + exchange.engine.id + " resets the connection after 20000 of 40000 bytes of its answer to " + id);
            exchange.reset();
        } else {
            exchange.write(HALF);
            exchange.readBody();
            exchange.close();
            record.log("engine " + exchange.engine.id + " has sent all 40000 bytes of its answer to " + id);
        }
    }
}
