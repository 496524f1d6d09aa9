import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The head of an HTTP/1.1 message. */
final class Request {
    final String firstLine;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    private Request(String firstLine) {
        this.firstLine = firstLine;
    }

    /** Reads a head; returns null at the end of the connection. */
    static Request readOrNull(InputStream in) throws IOException {
        String line = lineOrNull(in);
        if (line == null) return null;
        Request head = new Request(line);
        for (line = lineOrNull(in); line != null && !line.isEmpty(); line = lineOrNull(in)) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return head;
    }

    String path() {
        return firstLine.split(" ")[1];
    }

    /** Returns the status, if this is the head of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String id() {
        return headers.getOrDefault("X-Pistachiopass-Attempt-Id", "none");
    }

    long length() {
        return Long.parseLong(headers.getOrDefault("Content-Length", "0"));
    }

    boolean isChunked() {
        return "chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"));
    }

    static String lineOrNull(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            line.write(next);
        }
        if (line.size() > 0) throw new EOFException("the connection ended inside a line");
        return null;
    }

    static byte[] read(InputStream in, long count) throws IOException {
        byte[] bytes = in.readNBytes((int) count);
        if (bytes.length < count) throw new EOFException("the connection ended inside a body");
        return bytes;
    }
}
