import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Processes of the project, each on a loopback address of its own, started with the command of the deploy file. */
final class Fleet implements AutoCloseable {
    static final String[] ZONES = {"pl-south-a", "pl-south-b", "pl-south-c"};

    final int port;
    final String storeHost = "127.0.0.1";
    private final Path folder;
    private final Record record;
    private final int size;
    private final Map<Integer, Process> processes = new HashMap<>();

    Fleet(int size, Record record) throws IOException {
        this.size = size;
        this.record = record;
        folder = Files.createTempDirectory("review");
        port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::destroyAll));
    }

    int storePort() {
        return port + 20;
    }

    static String host(int instance) {
        return "127.0.1." + (instance + 1);
    }

    int callerPort() {
        return port;
    }

    int readyPort() {
        return port + 1;
    }

    String zone(int instance) {
        return ZONES[instance % ZONES.length];
    }

    /** Starts the process of [instance], with settings like those that the platform makes of the template. */
    synchronized void start(int instance) throws IOException {
        String host = host(instance);
        List<String> seeds = new ArrayList<>();
        for (int seed = 0; seed < Math.min(3, size); seed++) seeds.add("\"" + host(seed) + ":" + (port + 2) + "\"");
        String settings = "{\"instance\":\"front-" + instance + "\",\"dataCentre\":\"" + zone(instance)
            + "\",\"callerAddress\":\"" + host + ":" + callerPort() + "\",\"readyAddress\":\"" + host + ":" + readyPort()
            + "\",\"controlAddress\":\"" + host + ":" + (port + 2) + "\",\"peerPort\":" + (port + 3) + ",\"seeds\":" + seeds
            + ",\"storeAddress\":\"" + storeHost + ":" + storePort() + "\",\"bounds\":{\"revokeMillis\":5000,"
            + "\"repeatShare\":0.2,\"repeatSlack\":104,\"repeatWindowSeconds\":10,\"coldFactor\":1.5,\"coldSlack\":5,"
            + "\"holdMaxMillis\":20000,\"freeMillis\":4000,\"graceSeconds\":8}}";
        Path file = folder.resolve("settings-" + instance + ".json");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>();
        for (String word : deployCommand().split(" ")) {
            command.add(word.equals("/etc/pistachiopass/settings.toml") ? file.toString() : word);
        }
        Path log = folder.resolve("log-" + instance + ".txt");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        processes.put(instance, builder.start());
        record.log("process of instance " + instance + " started, id " + processes.get(instance).pid());
    }

    synchronized Process process(int instance) {
        return processes.get(instance);
    }

    Path log(int instance) {
        return folder.resolve("log-" + instance + ".txt");
    }

    void kill(int instance) throws InterruptedException {
        Process process = process(instance);
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        record.log("SIGKILL to instance " + instance);
    }

    void terminate(int instance) {
        process(instance).destroy();
        record.log("SIGTERM to instance " + instance);
    }

    /** Waits until [instance] answers its readiness probe with 200; returns false after [seconds]. */
    boolean awaitReady(int instance, int seconds) throws InterruptedException {
        long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < endNanos) {
            if (isReady(instance)) {
                record.log("instance " + instance + " is ready");
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean isReady(int instance) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host(instance), readyPort()), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream().write("GET /pistachiopass/ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
            Request head = Request.readOrNull(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws Exception {
        destroyAll();
        for (Process process : processes.values()) process.waitFor(5, TimeUnit.SECONDS);
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
    }

    private synchronized void destroyAll() {
        for (Process process : processes.values()) process.destroyForcibly();
    }

    private static String deployCommand() throws IOException {
        return Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst().orElseThrow();
    }

    /** Returns a port from which on 60 are free on all addresses used here. */
    private int freePorts() throws IOException {
        List<Integer> starts = new ArrayList<>();
        for (int start = 12_000; start < 30_000; start += 100) starts.add(start);
        Collections.shuffle(starts, new Random());
        for (int start : starts) if (isFree(start)) return start;
        throw new IOException("no free ports");
    }

    private boolean isFree(int start) {
        for (int offset = 0; offset < 60; offset++) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress((InetAddress) null, start + offset));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
