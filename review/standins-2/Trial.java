import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One run of a case: its record, its processes, and the result. */
final class Trial implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Path temporary;
    private final PrintWriter record;
    private final long startedNanos = System.nanoTime();
    final List<Engine> engines = new ArrayList<>();
    private final List<AutoCloseable> parts = new ArrayList<>();

    Trial(String caseFolder) throws IOException {
        folder = Path.of(caseFolder).toAbsolutePath();
        temporary = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        note("disruption %s", hasTrouble ? "on" : "off");
    }

    /** Milliseconds since the start of the trial. */
    double now() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    synchronized void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%9.1f ", now()) + String.format(Locale.ROOT, format, values);
        record.println(line);
        System.out.println(line);
    }

    <T extends AutoCloseable> T add(T part) {
        synchronized (parts) {
            parts.add(part);
        }
        return part;
    }

    static int freePort(String host) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // A connection or a socket was closed; the parts that matter are recorded where they happen.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    interface Case {
        boolean isBroken(Trial trial) throws Exception;
    }

    /** Runs [body] and exits with the result; all processes that were started have ended before. */
    static void run(String caseFolder, Case body) throws Exception {
        int result = COULD_NOT_RUN;
        Trial trial = new Trial(caseFolder);
        Thread closer = new Thread(trial::closeParts);
        Runtime.getRuntime().addShutdownHook(closer);
        Thread limit = start("limit", () -> {
            sleep(115_000);
            trial.note("the case took too long");
            trial.closeParts();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        try {
            result = body.isBroken(trial) ? BROKEN : HELD;
            trial.note("result: the rule %s", result == BROKEN ? "was broken" : "held");
        } catch (Exception | AssertionError e) {
            trial.note("the case could not run: %s", e);
            e.printStackTrace();
        }
        trial.close();
        System.exit(result);
    }

    private void closeParts() {
        List<AutoCloseable> all;
        synchronized (parts) {
            all = new ArrayList<>(parts);
            parts.clear();
        }
        for (int i = all.size() - 1; i >= 0; i--) {
            try {
                all.get(i).close();
            } catch (Exception e) {
                System.err.println(e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        closeParts();
        record.close();
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
