import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Engines in trouble send a body without end that is no answer, until the caller closes. Without the disruption they
 * answer like the others.
 */
final class EndlessBody implements Run.Case {
    private static final int INSTANCES = 3;
    private static final int ENGINES = 23;
    private static final int TROUBLED = 3;
    private static final String UNIT = "x\n\n";

    /** Share of the answers of an engine in trouble that have no end. */
    private static final double ENDLESS_SHARE = 0.45;
    private static final int RUN_MILLIS = 40_000;
    private static final int STREAM_GAP_MILLIS = 70;
    private static final int PLAIN_GAP_MILLIS = 250;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 500;

    /** Bytes a second of all endless bodies together: below the 1,000 Mbit/s of the link of one machine. */
    private static final long BYTES_PER_SECOND = 100_000_000;

    private final Random random = new Random(32);
    private final AtomicInteger plain = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger wholeStreams = new AtomicInteger();
    private final AtomicLong endlessBytes = new AtomicLong();
    private long budgetNanos;
    private volatile boolean isOver;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        try (Fleet fleet = new Fleet(INSTANCES, record); Store store = new Store(fleet.storeHost, fleet.storePort())) {
            store.put("op/config", Config.of(7, TIMEOUT_MILLIS));
            List<Engine> engines = new ArrayList<>();
            for (int number = 0; number < ENGINES; number++) {
                boolean isTroubled = hasTrouble && number < TROUBLED;
                engines.add(new Engine("i-" + number, "127.0.2." + (number + 1), fleet.port + 30, Config.MODEL,
                    fleet.zone(number), store, 0, exchange -> serveStream(record, exchange, isTroubled)));
            }
            for (int number = 0; number < 3; number++) {
                engines.add(new Engine("j-" + number, "127.0.3." + (number + 1), fleet.port + 30, Config.PLAIN,
                    fleet.zone(number), store, 0, exchange -> {
                        exchange.readBody();
                        Thread.sleep(20);
                        exchange.answer(200, new byte[800]);
                    }));
            }
            for (int instance = 0; instance < INSTANCES; instance++) fleet.start(instance);
            for (int instance = 0; instance < INSTANCES; instance++) {
                if (!fleet.awaitReady(instance, 30)) throw new IllegalStateException("not ready");
            }
            Thread.sleep(5_000);
            List<Thread> senders = List.of(Threads.start(() -> sendStreams(fleet)), Threads.start(() -> sendPlain(record, fleet)));
            Thread.sleep(RUN_MILLIS);
            isOver = true;
            for (Thread sender : senders) sender.join(5_000);
            Thread.sleep(8_000);
        }
        record.log(endlessBytes.get() / 1_000_000 + " MB of endless bodies; " + wholeStreams + " of " + streams
            + " streams were whole");
        record.log(plain + " plain requests; " + unansweredAtTimeout + " were unanswered at the timeout of their route, and "
            + unansweredLater + " of these still " + SLACK_MILLIS + " ms later");
        return unansweredLater.get() >= 8 && unansweredLater.get() * 4 > unansweredAtTimeout.get();
    }

    private void serveStream(Record record, Engine.Exchange exchange, boolean isTroubled) throws Exception {
        exchange.readBody();
        Thread.sleep(60);
        if (!isTroubled || !isEndless()) {
            exchange.answerStream(20, 40);
            return;
        }
        record.log("engine " + exchange.engine.id + " answers " + exchange.request.id() + " without end");
        byte[] bytes = UNIT.repeat(4_096).getBytes(StandardCharsets.ISO_8859_1);
        long sent = 0;
        try {
            exchange.write(exchange.head(200, "Content-Type: text/event-stream\r\n"));
            while (true) {
                pace(bytes.length);
                exchange.out.write(bytes);
                sent += bytes.length;
                endlessBytes.addAndGet(bytes.length);
            }
        } finally {
            record.log("the caller of engine " + exchange.engine.id + " closed after about " + sent + " bytes of its answer to "
                + exchange.request.id());
        }
    }

    /** Keeps all endless bodies together below the rate of a link. */
    private void pace(int bytes) throws InterruptedException {
        long waitNanos;
        synchronized (this) {
            long now = System.nanoTime();
            budgetNanos = Math.max(budgetNanos, now) + bytes * 1_000_000_000L / BYTES_PER_SECOND;
            waitNanos = budgetNanos - now;
        }
        if (waitNanos > 2_000_000) Thread.sleep(waitNanos / 1_000_000);
    }

    private synchronized boolean isEndless() {
        return random.nextDouble() < ENDLESS_SHARE;
    }

    private synchronized int nextInstance() {
        return random.nextInt(INSTANCES);
    }

    private void sendStreams(Fleet fleet) throws InterruptedException {
        for (int number = 0; !isOver; number++) {
            String id = "stream" + number;
            int instance = nextInstance();
            Threads.start(() -> {
                streams.incrementAndGet();
                try (Client client = new Client(Fleet.host(instance), fleet.callerPort(), 0, 12_000)) {
                    client.send("POST", Config.STREAM_PATH + "2f", id, 10_000, Config.KEY, "X-Pistachiopass-Model: m\r\n"
                        + "X-Pistachiopass-Token-Count: 5000,920\r\nX-Pistachiopass-Prompt-Prefix: aa" + id.hashCode() % 60
                        + ":40," + id.hashCode() + ":4960\r\n", new byte[1_200]);
                    Client.Answer answer = client.receive();
                    if (answer.status() == 200 && answer.isWhole()) wholeStreams.incrementAndGet();
                }
            });
            Thread.sleep(STREAM_GAP_MILLIS);
        }
    }

    private void sendPlain(Record record, Fleet fleet) throws InterruptedException {
        for (int number = 0; !isOver; number++) {
            String id = "plain" + number;
            int instance = nextInstance();
            boolean isBooking = number % 2 == 0;
            Threads.start(() -> {
                try (Client client = new Client(Fleet.host(instance), fleet.callerPort(), 0, 20_000)) {
                    client.send(isBooking ? "POST" : "GET", (isBooking ? Config.BOOKING_PATH : Config.LOOKUP_PATH) + "2f", id,
                        TIMEOUT_MILLIS, Config.KEY, "", new byte[isBooking ? 600 : 0]);
                    double sentSeconds = record.seconds();
                    plain.incrementAndGet();
                    Client.Answer answer = client.receive();
                    double millis = (record.seconds() - sentSeconds) * 1_000;
                    if (millis > TIMEOUT_MILLIS) unansweredAtTimeout.incrementAndGet();
                    if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) unansweredLater.incrementAndGet();
                    record.log("client got for " + id + " of instance " + instance + " after " + (int) millis + " ms: " + answer);
                }
            });
            Thread.sleep(PLAIN_GAP_MILLIS);
        }
    }
}
