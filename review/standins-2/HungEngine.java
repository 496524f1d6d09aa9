import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** A prompt that needs several engines, of which the first takes the request and never answers it. */
final class HungEngine {
    private static final double IDLE_MAX_MILLIS = 9_000;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], HungEngine::isBroken);
    }

    private static boolean isBroken(Trial trial) throws Exception {
        Store store = trial.add(new Store(trial));
        store.put("op/config", Config.usual());
        Map<String, Memory> memories = new HashMap<>();
        AtomicReference<String> hung = new AtomicReference<>();
        for (int i = 1; i <= 8; i++) {
            Memory memory = new Memory(trial, "i-llm-" + i);
            memories.put("i-llm-" + i, memory);
            Engine.Handler stream = Engine.stream(17, 60, 1);
            trial.add(new Engine(trial, store, "i-llm-" + i, Config.LLM, "cleveland", (engine, request, socket, out) -> {
                if (request.target().equals("/pistachiopass/order")) {
                    memory.order(engine, request, out);
                    return;
                }
                String helpers = request.header("X-Pistachiopass-Helpers");
                trial.note("%s: request %s arrives, helpers %s", engine.id, request.header(Engine.ID), helpers);
                if (trial.hasTrouble && hung.compareAndSet(null, engine.id)) {
                    trial.note("%s: hangs on this request", engine.id);
                    int end = socket.getInputStream().read();
                    trial.note("%s: the connection of the request was closed", engine.id);
                    socket.close();
                    return;
                }
                for (Engine other : trial.engines) {
                    if (helpers != null && helpers.contains(other.address() + "/")) {
                        String rest = helpers.substring(helpers.indexOf(other.address() + "/"));
                        memories.get(other.id).use(rest.split(",")[0].split("/")[1]);
                    }
                }
                Trial.sleep(2_000);
                stream.run(engine, request, socket, out);
            }));
        }
        Daemon.Ports ports = new Daemon.Ports();
        List<String> seeds = List.of("127.0.1.1", "127.0.1.2");
        Daemon daemon = trial.add(new Daemon(trial, store, ports, 1, "cleveland", seeds));
        trial.add(new Daemon(trial, store, ports, 2, "cleveland", seeds));
        daemon.awaitReady();
        Trial.sleep(4_000);

        Client client = trial.add(new Client(daemon.front()));
        String id = Client.newId();
        client.send("POST", Config.AUDIT, id, 15_000, "X-Pistachiopass-Model: m\r\n"
            + "X-Pistachiopass-Token-Count: 800000,800\r\n"
            + "X-Pistachiopass-Prompt-Prefix: 5c1e07a2:40,e4402b7d:799960\r\n", new byte[29_000]);
        trial.note("request %s sent, 800000 tokens", id);
        Http answer = client.read();
        trial.note("answer: %s, %d bytes, complete: %b", answer.first, answer.body.length, answer.isComplete);
        Trial.sleep(4_000);
        double longest = 0;
        for (Map.Entry<String, Memory> entry : memories.entrySet()) {
            entry.getValue().expire();
            if (entry.getKey().equals(hung.get())) continue;
            longest = Math.max(longest, entry.getValue().longestIdleMillis);
        }
        trial.note("longest time for which memory was set aside at a sound engine without use: %.0f ms", longest);
        return longest > IDLE_MAX_MILLIS;
    }
}
