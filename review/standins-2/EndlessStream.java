import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** An engine that streams without end to callers that read slowly, beside bookings of other callers. */
final class EndlessStream {
    /** What each caller of a stream reads. */
    private static final int BYTES_PER_SECOND = 2_000_000;
    /** What the engine in trouble sends on each of its connections. */
    private static final int SENT_BYTES_PER_SECOND = 10_000_000;
    private static final int BOOKERS = 20;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int MODEL_ENGINES = 7;
    private static final int STREAMS = 24;
    private static final int PAUSE_MILLIS = 100;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], EndlessStream::isBroken);
    }

    private static boolean isBroken(Trial trial) throws Exception {
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        for (int i = 1; i <= MODEL_ENGINES; i++) {
            trial.add(new Engine(trial, store, "i-llm-" + i, Config.LLM, "cleveland", Engine.stream(35, 20, 1)));
        }
        Engine desk = trial.add(new Engine(trial, store, "i-desk-1", Config.DESK, "cleveland", Engine.plain(30, 800)));
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2");
        Daemon daemon = trial.add(new Daemon(trial, store, ports, 1, "cleveland", seeds));
        trial.add(new Daemon(trial, store, ports, 2, "cleveland", seeds));
        daemon.awaitReady();
        Trial.sleep(4_000);

        if (trial.hasTrouble) {
            AtomicReference<Engine> sick = new AtomicReference<>();
            AtomicInteger answers = new AtomicInteger();
            Engine.Handler sound = Engine.stream(35, 20, 1);
            Engine.Handler handler = (engine, request, socket, out) -> {
                // The engine that gets the first of these streams is the one in trouble.
                sick.compareAndSet(null, engine);
                // Two in five of its answers have no end.
                boolean isEndless = sick.get() == engine && answers.getAndIncrement() % 5 % 3 == 0;
                if (isEndless) streamWithoutEnd(trial, engine, request, socket, out);
                else sound.run(engine, request, socket, out);
            };
            trial.engines.stream().filter(e -> e.service.equals(Config.LLM)).forEach(e -> e.handler = handler);
        }
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger held = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        long endMillis = (long) trial.now() + 20_000;
        for (int i = 0; i < BOOKERS; i++) {
            Trial.start("booker", () -> {
                while (trial.now() < endMillis) {
                    try (Client client = new Client(daemon.front())) {
                        for (int n = 0; trial.now() < endMillis; n++) {
                            String id = Client.newId();
                            double sentMillis = trial.now();
                            client.send("POST", Config.BOOKING, id, 1_500, "", new byte[600]);
                            Http answer = null;
                            try {
                                answer = client.read();
                            } catch (IOException e) {
                                trial.note("booking %s: %s", id, e);
                            }
                            double tookMillis = trial.now() - sentMillis;
                            if (tookMillis > TIMEOUT_MILLIS) {
                                overdue.incrementAndGet();
                                if (tookMillis > TIMEOUT_MILLIS + 500) held.incrementAndGet();
                                trial.note("booking %s: no answer for %.0f ms", id, tookMillis);
                            }
                            boolean hasRun = desk.runsById.containsKey(id);
                            if (answer == null || !answer.isComplete) {
                                closed.incrementAndGet();
                                if (hasRun && n > 0) unanswered.incrementAndGet();
                                trial.note("booking %s, number %d of its connection: closed without an answer, %s", id,
                                    n + 1, hasRun ? "has run at the engine" : "did not reach the engine");
                                break;
                            }
                            if (answer.status() == 200) answered.incrementAndGet();
                            else if (answer.status() == 503) refused.incrementAndGet();
                            else {
                                failed.incrementAndGet();
                                trial.note("booking %s: %s, %s", id, answer.first, hasRun ? "has run" : "has not run");
                            }
                            Trial.sleep(200);
                        }
                    } catch (IOException e) {
                        trial.note("a caller of bookings: %s", e);
                        Trial.sleep(200);
                    }
                }
            });
        }
        Trial.sleep(3_000);
        for (int i = 0; i < STREAMS; i++) {
            Client slow = trial.add(new Client(daemon.front(), 64 * 1024));
            String id = Client.newId();
            slow.send("POST", Config.STREAM, id, 10_000, Client.PROMPT, new byte[1_200]);
            trial.note("stream %s sent", id);
            Trial.start("slow", () -> {
                Http answer = Http.readHead(slow.in);
                trial.note("stream %s: %s", id, answer.first);
                answer.readBody(slow.in, BYTES_PER_SECOND);
                trial.note("stream %s: %d bytes, complete: %b", id, answer.body.length, answer.isComplete);
            });
            Trial.sleep(PAUSE_MILLIS);
        }
        while (trial.now() < endMillis + 1_000) {
            Trial.sleep(1_000);
            trial.note("bookings: %d answered, %d refused, %d failed, %d closed, of which %d had run; process %s",
                answered.get(), refused.get(), failed.get(), closed.get(), unanswered.get(),
                daemon.isAlive() ? "runs" : "has ended");
        }
        trial.note("bookings unanswered at their timeout of %d ms: %d; half a second later: %d", TIMEOUT_MILLIS,
            overdue.get(), held.get());
        trial.note("the process has logged: %d x OutOfMemoryError",
            daemon.log().lines().filter(l -> l.contains("OutOfMemoryError")).count());
        return held.get() >= 8 && held.get() * 4 > overdue.get() || unanswered.get() > 3 || !daemon.isAlive();
    }

    /** Sends bytes that are no answer, {@link #SENT_BYTES_PER_SECOND}, until the caller closes. */
    private static void streamWithoutEnd(
        Trial trial, Engine engine, Http request, Socket socket, OutputStream out) throws IOException {
        trial.note("engine %s: a stream without end begins", engine.id);
        byte[] junk = Http.bytes("worker 3: restart requested, dumping state\n\n".repeat(1_400));
        long sent = 0;
        try {
            out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + Engine.ID + ": " + request.header(Engine.ID) + "\r\n"
                + engine.stamp() + "Content-Type: text/event-stream\r\n\r\n"));
            while (true) {
                out.write(junk);
                sent += junk.length;
                Trial.sleep(junk.length * 1_000L / SENT_BYTES_PER_SECOND);
            }
        } catch (IOException e) {
            trial.note("engine %s: closed after %d bytes: %s", engine.id, sent, e.getMessage());
            socket.close();
        }
    }
}
