import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The log of one run: what was sent, answered and executed, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void log(String text) {
        out.printf(Locale.ROOT, "%8.3f  %s%n", seconds(), text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
