import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {
    /** Ports that are the same on all machines. */
    static final class Ports {
        final int front = Trial.freePort("127.0.1.1");
        final int ready = Trial.freePort("127.0.1.1");
        final int control = Trial.freePort("127.0.1.1");
        final int peer = 30_000 + (int) (Math.random() * 2_000) * 16;
    }

    final String name;
    final String host;
    private final Trial trial;
    private final Ports ports;
    private final Path settings;
    /** While true, what reads the output of the process reads nothing; the process writes to a pipe. */
    volatile boolean isOutputStalled;
    private Process process;

    Daemon(Trial trial, Store store, Ports ports, int number, String zone, List<String> seeds) throws IOException {
        this.trial = trial;
        this.ports = ports;
        name = "front-" + zone + "-" + number;
        host = "127.0.1." + number;
        settings = trial.temporary.resolve(name + ".json");
        StringBuilder seedList = new StringBuilder();
        for (String seed : seeds) {
            seedList.append(seedList.isEmpty() ? "" : ",").append('"').append(seed).append(':').append(ports.control)
                .append('"');
        }
        Files.writeString(settings, "{\"instance\":\"" + name + "\",\"dataCentre\":\"" + zone + "\",\"callerAddress\":\""
            + host + ":" + ports.front + "\",\"readyAddress\":\"" + host + ":" + ports.ready + "\",\"controlAddress\":\""
            + host + ":" + ports.control + "\",\"peerPort\":" + ports.peer + ",\"seeds\":[" + seedList
            + "],\"storeAddress\":\"" + store.address() + "\",\"bounds\":{\"revokeMillis\":5000,\"repeatShare\":0.2,"
            + "\"repeatSlack\":104,\"repeatWindowSeconds\":10,\"coldFactor\":1.5,\"coldSlack\":5,"
            + "\"holdMaxMillis\":20000,\"freeMillis\":4000,\"graceSeconds\":8}}");
        start();
    }

    void start() throws IOException {
        String deploy = Files.readString(trial.root.resolve("deploy/system.toml"));
        String run = deploy.lines().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
            .replace("/etc/pistachiopass/settings.toml", settings.toString());
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        process = new ProcessBuilder(command).directory(trial.root.toFile()).redirectErrorStream(true).start();
        process.getOutputStream().close();
        InputStream output = process.getInputStream();
        Trial.start("output", () -> collect(output));
        trial.note("%s started", name);
    }

    /** Reads what the process writes to standard output and standard error, as a collector of logs does. */
    private void collect(InputStream output) throws IOException {
        try (OutputStream log = Files.newOutputStream(logFile(), StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            byte[] buffer = new byte[64 * 1024];
            while (true) {
                while (isOutputStalled) Trial.sleep(50);
                int count = output.read(buffer);
                if (count < 0) return;
                log.write(buffer, 0, count);
            }
        }
    }

    private Path logFile() {
        return trial.temporary.resolve(name + ".out");
    }

    InetSocketAddress front() {
        return new InetSocketAddress(host, ports.front);
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, ports.ready), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes(
                "GET /pistachiopass/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
            Http answer = Http.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() {
        for (int i = 0; i < 300; i++) {
            if (isReady()) {
                trial.note("%s ready", name);
                return;
            }
            Trial.sleep(100);
        }
        throw new IllegalStateException(name + " is not ready\n" + log());
    }

    void signal(String signal) throws Exception {
        trial.note("%s: SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    String log() {
        try {
            return Files.readString(logFile());
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
