import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Model engines that end on a part of a prompt, and streams with and without that part at three machines. */
final class DeadlyPart {
    static final String PART = "91bd3f06";
    static final double STABLE_WINDOW_MILLIS = 3_000;
    private static final int ENGINES = 8;
    private static final long DOWN_MILLIS = 2_500;

    final List<Daemon> daemons = new ArrayList<>();
    private final List<Double> crashes = Collections.synchronizedList(new ArrayList<>());
    private final List<Double> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final Trial trial;
    private final int promptTokens;

    /** Starts the deployment; engines read prompts in [readMillis] and, if [isDeadly], end on the part. */
    DeadlyPart(Trial trial, int promptTokens, long readMillis, boolean isDeadly) throws IOException {
        this.trial = trial;
        this.promptTokens = promptTokens;
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        Engine.Handler sound = Engine.stream(10, 20, 1);
        for (int i = 1; i <= ENGINES; i++) {
            trial.add(new Engine(trial, store, "i-llm-" + i, Config.LLM, "cleveland", (engine, request, socket, out) -> {
                Trial.sleep(readMillis);
                if (request.header("X-Pistachiopass-Prompt-Prefix").contains(PART)) {
                    arrivals.add(trial.now());
                    if (isDeadly) {
                        crashes.add(trial.now());
                        trial.note("%s: crash %d, on request %s", engine.id, crashes.size(),
                            request.header(Engine.ID));
                        engine.crash(DOWN_MILLIS);
                        return;
                    }
                }
                sound.run(engine, request, socket, out);
            }));
        }
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2", "127.0.1.3");
        for (int i = 1; i <= 3; i++) daemons.add(trial.add(new Daemon(trial, store, ports, i, "cleveland", seeds)));
        for (Daemon daemon : daemons) daemon.awaitReady();
        Trial.sleep(5_000);
    }

    /** Sends five requests a second without the part to each machine until [endMillis]. */
    void startSound(double endMillis) {
        for (Daemon daemon : daemons) {
            Trial.start("sound", () -> {
                while (trial.now() < endMillis) {
                    Trial.start("request", () -> {
                        boolean isServed = ask(daemon, "77aa3f06").equals("200");
                        (isServed ? served : failed).incrementAndGet();
                    });
                    Trial.sleep(200);
                }
            });
        }
    }

    /** Sends a request with the part each second, to one machine after the other, until [endMillis]. */
    void sendDeadly(double endMillis) {
        for (int i = 0; trial.now() < endMillis; i++) {
            Daemon daemon = daemons.get(i % daemons.size());
            Trial.start("deadly", () ->
                trial.note("%s: a request with the part %s: %s", daemon.name, PART, ask(daemon, PART)));
            Trial.sleep(1_000);
        }
    }

    /** Returns whether more requests with the part than the rule allows reached engines. */
    boolean isBroken() {
        trial.note("%d crashes; requests without the part: %d served, %d not", crashes.size(), served.get(),
            failed.get());
        if (crashes.size() < 5) return false;
        double fromMillis = crashes.get(4) + STABLE_WINDOW_MILLIS;
        long late = arrivals.stream().filter(at -> at > fromMillis).count();
        trial.note("requests with the part that reached engines later than %.0f ms after the fifth crash: %d",
            STABLE_WINDOW_MILLIS, late);
        return late > 3;
    }

    private String ask(Daemon daemon, String part) {
        String own = Client.newId().substring(4);
        int ownTokens = promptTokens - 1_210;
        String prefix = "5c1e07a2:800," + part + ":410," + own + ":" + ownTokens;
        try (Client client = new Client(daemon.front())) {
            client.send("POST", Config.STREAM, Client.newId(), 10_000, "X-Pistachiopass-Model: m\r\n"
                + "X-Pistachiopass-Token-Count: " + promptTokens + ",460\r\nX-Pistachiopass-Prompt-Prefix: " + prefix
                + "\r\n", Http.bytes(prefix));
            Http answer = client.read();
            if (answer == null) return "closed";
            return answer.status() + (answer.isComplete ? "" : ", broken off");
        } catch (IOException e) {
            return e.toString();
        }
    }
}
