import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to an instance, for one request at a time. */
final class Client implements AutoCloseable {
    static final String HOST = "ficu95.example";

    /** Bytes of a body that are kept; more come only from bodies without end. */
    private static final int KEPT_BYTES_MAX = 8_000_000;

    /** An answer as the client saw it; [status] is 0 if there was no head. */
    record Answer(int status, String stamp, byte[] body, boolean isWhole, String error) {
        @Override
        public String toString() {
            return "status " + status + ", stamp " + stamp + ", body of " + body.length + " bytes "
                + (isWhole ? "whole" : "broken off (" + error + ")");
        }
    }

    final Socket socket = new Socket();
    private final InputStream in;

    Client(String host, int port, int receiveBufferBytes, int timeoutMillis) throws IOException {
        if (receiveBufferBytes > 0) socket.setReceiveBufferSize(receiveBufferBytes);
        socket.connect(new InetSocketAddress(host, port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream(), 1024);
    }

    void send(String method, String path, String id, long remainingMillis, String key, String more, byte[] body)
            throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Pistachiopass-Attempt-Id: " + id
            + "\r\nX-Pistachiopass-Deadline-Remaining: " + remainingMillis + "\r\nAuthorization: Token " + key + "\r\n"
            + more + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }

    /** Receives an answer. */
    Answer receive() {
        return receive(0, 0);
    }

    /** Receives an answer, at [bytesPerSecond] at most in the first [slowMillis]. */
    Answer receive(long bytesPerSecond, long slowMillis) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        String stamp = null;
        try {
            Request head = Request.readOrNull(in);
            if (head == null) return new Answer(0, null, new byte[0], false, "closed without an answer");
            status = head.status();
            stamp = head.headers.get("X-Pistachiopass-Response-Stamp");
            if (head.isChunked()) {
                for (long size = chunkSize(); size > 0; size = chunkSize()) {
                    copy(body, size, bytesPerSecond, slowMillis);
                    Request.lineOrNull(in);
                }
                Request.lineOrNull(in);
            } else {
                copy(body, head.length(), bytesPerSecond, slowMillis);
            }
            return new Answer(status, stamp, body.toByteArray(), true, null);
        } catch (IOException e) {
            return new Answer(status, stamp, body.toByteArray(), false, e.toString());
        }
    }

    private long chunkSize() throws IOException {
        String line = Request.lineOrNull(in);
        if (line == null) throw new IOException("the connection ended before the last chunk");
        return Long.parseLong(line.split(";")[0].trim(), 16);
    }

    private void copy(ByteArrayOutputStream body, long count, long bytesPerSecond, long slowMillis) throws IOException {
        long startNanos = System.nanoTime();
        byte[] buffer = new byte[8192];
        for (long done = 0; done < count; ) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, count - done));
            if (read < 0) throw new IOException("the connection ended after " + done + " of " + count + " bytes");
            if (body.size() < KEPT_BYTES_MAX) body.write(buffer, 0, read);
            done += read;
            long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
            if (elapsedMillis < slowMillis) {
                long aheadMillis = done * 1000 / bytesPerSecond - elapsedMillis;
                try {
                    if (aheadMillis > 0) Thread.sleep(Math.min(aheadMillis, slowMillis - elapsedMillis));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
