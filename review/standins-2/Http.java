import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A message of HTTP/1.1 as it was read from a connection. */
final class Http {
    final String first;
    final Map<String, String> headers;
    byte[] body = new byte[0];
    /** The body came to its stated end. */
    boolean isComplete;

    private Http(String first, Map<String, String> headers) {
        this.first = first;
        this.headers = headers;
    }

    String header(String name) {
        return headers.get(name);
    }

    String method() {
        return first.split(" ")[0];
    }

    String target() {
        return first.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads a head, or returns null at the end of the connection. */
    static Http readHead(InputStream in) throws IOException {
        String first = lineOrNull(in);
        if (first == null || first.isEmpty()) return null;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = lineOrNull(in); line != null && !line.isEmpty(); line = lineOrNull(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return new Http(first, headers);
    }

    /** Reads a message with its body; one that breaks off is not complete. */
    static Http read(InputStream in) throws IOException {
        Http message = readHead(in);
        if (message != null) message.readBody(in, Integer.MAX_VALUE);
        return message;
    }

    /** Reads the body, with a pause so that at most [bytesPerSecond] are read. */
    void readBody(InputStream in, int bytesPerSecond) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
                while (true) {
                    String line = lineOrNull(in);
                    if (line == null) throw new EOFException();
                    int size = Integer.parseInt(line.trim(), 16);
                    copy(in, bytes, size, bytesPerSecond);
                    lineOrNull(in);
                    if (size == 0) break;
                }
                isComplete = true;
            } else if (header("Content-Length") != null) {
                copy(in, bytes, Integer.parseInt(header("Content-Length")), bytesPerSecond);
                isComplete = true;
            } else {
                isComplete = true;
            }
        } catch (IOException e) {
            isComplete = false;
        }
        body = bytes.toByteArray();
    }

    private static void copy(InputStream in, ByteArrayOutputStream to, int size, int bytesPerSecond)
            throws IOException {
        byte[] buffer = new byte[16 * 1024];
        int left = size;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new EOFException();
            to.write(buffer, 0, count);
            left -= count;
            if (bytesPerSecond < 1_000_000_000) Trial.sleep(Math.round(count * 1000.0 / bytesPerSecond));
        }
    }

    static String lineOrNull(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) return line.length() == 0 ? null : line.toString();
            if (c == '\n') return line.toString();
            if (c != '\r') line.append((char) c);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String lower(String text) {
        return text.toLowerCase(Locale.ROOT);
    }
}
