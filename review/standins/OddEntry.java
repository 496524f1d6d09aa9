import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts entries in the place of those of model engines, each with a field missing or of another type; the
 * engines go on writing their own. Without the disruption there is no other writer.
 */
final class OddEntry implements Run.Case {
    private static final int INSTANCES = 3;
    private static final int ENGINES = 6;
    private static final int WRITES = 12;
    private static final int WRITE_GAP_MILLIS = 1_000;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int REQUEST_GAP_MILLIS = 100;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger misrouted = new AtomicInteger();
    private volatile boolean isOver;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        try (Fleet fleet = new Fleet(INSTANCES, record); Store store = new Store(fleet.storeHost, fleet.storePort())) {
            store.put("op/config", Config.of(7, 1_000));
            List<Engine> engines = new ArrayList<>();
            for (int number = 0; number < ENGINES; number++) {
                engines.add(new Engine("i-" + number, "127.0.2." + (number + 1), fleet.port + 30, Config.MODEL,
                    fleet.zone(number), store, 0, exchange -> serve(record, exchange, Config.STREAM_PATH)));
            }
            for (int number = 0; number < 3; number++) {
                engines.add(new Engine("j-" + number, "127.0.3." + (number + 1), fleet.port + 30, Config.PLAIN,
                    fleet.zone(number), store, 0, exchange -> serve(record, exchange, Config.BOOKING_PATH)));
            }
            Threads.start(() -> beat(engines));
            for (int instance = 0; instance < INSTANCES; instance++) fleet.start(instance);
            for (int instance = 0; instance < INSTANCES; instance++) {
                if (!fleet.awaitReady(instance, 30)) throw new IllegalStateException("not ready");
            }
            Thread.sleep(4_000);
            Thread sender = Threads.start(() -> sendBookings(record, fleet));
            for (int number = 0; number < WRITES; number++) {
                Thread.sleep(WRITE_GAP_MILLIS);
                Engine engine = engines.get(number % ENGINES);
                if (hasTrouble) write(record, store, engine, number % 2 == 0);
            }
            Thread.sleep(2_000);
            isOver = true;
            sender.join(2_000);
            Thread.sleep(1_500);
        }
        if (answered.get() == 0) throw new IllegalStateException("no booking was answered");
        record.log(answered + " bookings were answered; " + misrouted
            + " ran at an engine of a service to which no configuration allows them to go");
        return misrouted.get() > 0;
    }

    private void serve(Record record, Engine.Exchange exchange, String allowedPath) throws Exception {
        exchange.readBody();
        boolean isAllowed = exchange.request.path().startsWith(allowedPath);
        record.log("engine " + exchange.engine.id + " runs " + exchange.request.id() + (isAllowed ? "" : ": not its service"));
        if (!isAllowed) misrouted.incrementAndGet();
        Thread.sleep(20);
        exchange.answer(200, new byte[800]);
    }

    /** Writes an entry for the id and the address of [engine], with slots of another type or without two fields. */
    private static void write(Record record, Store store, Engine engine, boolean isOtherType) {
        String entry = "{\"service\":\"" + Config.PLAIN + "\",\"address\":\"" + engine.address + "\",\"zone\":\""
            + Fleet.ZONES[0] + "\"," + (isOtherType ? "\"version\":\"v1\",\"slots\":\"6\"" : "\"slots\":6")
            + ",\"state\":\"ready\",\"coldRemainingMs\":0" + (isOtherType ? ",\"sequence\":0" : "") + "}";
        store.put("servers/" + engine.id, entry);
        record.log("another writer puts servers/" + engine.id + ": " + entry);
    }

    private static void beat(List<Engine> engines) throws InterruptedException {
        while (true) {
            for (Engine engine : engines) {
                engine.beat();
                Thread.sleep(HEARTBEAT_MILLIS / engines.size());
            }
        }
    }

    private void sendBookings(Record record, Fleet fleet) throws InterruptedException {
        for (int number = 0; !isOver; number++) {
            String id = "booking" + number;
            int instance = number % INSTANCES;
            Threads.start(() -> {
                try (Client client = new Client(Fleet.host(instance), fleet.callerPort(), 0, 3_000)) {
                    client.send("POST", Config.BOOKING_PATH + "2f", id, 1_000, Config.KEY, "", new byte[600]);
                    Client.Answer answer = client.receive();
                    if (answer.status() == 200) answered.incrementAndGet();
                    record.log("client got for " + id + ": " + answer);
                }
            });
            Thread.sleep(REQUEST_GAP_MILLIS);
        }
    }
}
