import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines crash when they begin to write an answer on one part of a prompt, the first of three; the second part is a
 * document that sound requests have as well. Clients repeat once, as on the sheet. Without the disruption the engines
 * answer these requests like all others.
 */
final class DeadlyFirst implements Run.Case {
    private static final int INSTANCES = 8;
    private static final int ENGINES = 23;
    private static final int DOCUMENTS = 60;
    private static final String DEADLY = "5c1e07a2";
    private static final double STABLE_WINDOW_S = 3.0;
    private static final int ARRIVALS_MAX = 3;
    private static final int PREFILL_MILLIS = 120;
    private static final int BACK_MILLIS = 3_000;
    private static final int DEADLY_REQUESTS = 12;
    private static final int DEADLY_GAP_MILLIS = 2_500;
    private static final int SOUND_GAP_MILLIS = 400;

    private final Random random = new Random(31);
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger arrivals = new AtomicInteger();
    private final AtomicInteger soundSent = new AtomicInteger();
    private final AtomicInteger soundAnswers = new AtomicInteger();
    private volatile double fifthCrashSeconds = Double.MAX_VALUE;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        try (Fleet fleet = new Fleet(INSTANCES, record); Store store = new Store(fleet.storeHost, fleet.storePort())) {
            store.put("op/config", Config.of(7, 1_000));
            List<Engine> engines = new ArrayList<>();
            for (int number = 0; number < ENGINES; number++) {
                engines.add(new Engine("i-" + number, "127.0.2." + (number + 1), fleet.port + 30, Config.MODEL,
                    fleet.zone(number), store, 0, exchange -> serve(record, exchange, hasTrouble)));
            }
            Threads.start(() -> beat(engines));
            for (int instance = 0; instance < INSTANCES; instance++) fleet.start(instance);
            for (int instance = 0; instance < INSTANCES; instance++) {
                if (!fleet.awaitReady(instance, 40)) throw new IllegalStateException("instance " + instance + " is not ready");
            }
            Thread.sleep(5_000);
            Thread sound = Threads.start(() -> sendSound(record, fleet));
            Thread.sleep(5_000);
            for (int number = 0; number < DEADLY_REQUESTS; number++) {
                sendDeadly(record, fleet, "deadly" + number, nextDocument());
                Thread.sleep(DEADLY_GAP_MILLIS);
            }
            sound.interrupt();
            Thread.sleep(1_500);
            record.log(soundAnswers + " of " + soundSent + " sound requests were answered in full");
        }
        record.log(crashes + " crashes; " + arrivals + " requests with the part reached engines later than " + STABLE_WINDOW_S
            + " s after the fifth crash, sent by machines in touch; allowed are " + ARRIVALS_MAX);
        return arrivals.get() > ARRIVALS_MAX;
    }

    private void serve(Record record, Engine.Exchange exchange, boolean hasTrouble) throws Exception {
        exchange.readBody();
        String parts = exchange.request.headers.getOrDefault("X-Pistachiopass-Prompt-Prefix", "");
        if (!hasTrouble || !parts.startsWith(DEADLY + ":")) {
            Thread.sleep(100);
            exchange.answerStream(21, 45);
            return;
        }
        String id = exchange.request.id();
        boolean isCounted = record.seconds() > fifthCrashSeconds + STABLE_WINDOW_S;
        record.log((isCounted ? "counted: " : "") + id + " reaches engine " + exchange.engine.id);
        if (isCounted) arrivals.incrementAndGet();
        Thread.sleep(PREFILL_MILLIS);
        if (!exchange.engine.isUp()) return;
        exchange.engine.crash();
        int count = crashes.incrementAndGet();
        record.log("engine " + exchange.engine.id + " crashes on " + id + ", crash " + count);
        if (count == 5) fifthCrashSeconds = record.seconds();
        exchange.isClosed = true;
        Thread.sleep(BACK_MILLIS);
        exchange.engine.start();
    }

    private static void beat(List<Engine> engines) throws InterruptedException {
        while (true) {
            for (Engine engine : engines) {
                engine.beat();
                Thread.sleep(1_200 / ENGINES);
            }
        }
    }

    private synchronized int nextDocument() {
        return random.nextInt(DOCUMENTS);
    }

    private synchronized int nextInstance() {
        return random.nextInt(INSTANCES);
    }

    private void sendDeadly(Record record, Fleet fleet, String name, int document) {
        Threads.start(() -> {
            int status = 0;
            for (int attempt = 1; attempt <= 2 && status != 200; attempt++) {
                int instance = nextInstance();
                String id = name + "." + attempt;
                try (Client client = new Client(Fleet.host(instance), fleet.callerPort(), 0, 11_000)) {
                    String parts = DEADLY + ":40," + partOf(document) + ":2000," + Integer.toHexString(name.hashCode());
                    record.log("client sends " + id + " to instance " + instance + " with parts " + parts + ":43000");
                    send(client, id, parts + ":43000");
                    Client.Answer answer = client.receive();
                    status = answer.status();
                    record.log("client got for " + id + ": " + answer);
                }
            }
        });
    }

    private void sendSound(Record record, Fleet fleet) throws InterruptedException {
        for (int number = 0; ; number++) {
            String id = "sound" + number;
            int document = nextDocument();
            int instance = nextInstance();
            soundSent.incrementAndGet();
            Threads.start(() -> {
                try (Client client = new Client(Fleet.host(instance), fleet.callerPort(), 0, 11_000)) {
                    send(client, id, "aa" + document % 5 + ":40," + partOf(document) + ":2000," + id.hashCode() + ":43000");
                    Client.Answer answer = client.receive();
                    if (answer.status() == 200 && answer.isWhole()) soundAnswers.incrementAndGet();
                    else record.log("client got for " + id + " with document " + partOf(document) + ": " + answer);
                }
            });
            Thread.sleep(SOUND_GAP_MILLIS);
        }
    }

    private static String partOf(int document) {
        return "d0c" + document;
    }

    private static void send(Client client, String id, String parts) throws Exception {
        client.send("POST", Config.STREAM_PATH + "2f", id, 10_000, Config.KEY, "X-Pistachiopass-Model: m\r\n"
            + "X-Pistachiopass-Token-Count: 45040,966\r\nX-Pistachiopass-Prompt-Prefix: " + parts + "\r\n", new byte[11_000]);
    }
}
