import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one connection. */
final class Client implements AutoCloseable {
    private static final AtomicLong SEQUENCE = new AtomicLong();
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    final Socket socket = new Socket();
    final BufferedInputStream in;

    Client(InetSocketAddress address, int receiveBytes) throws IOException {
        if (receiveBytes > 0) socket.setReceiveBufferSize(receiveBytes);
        socket.connect(address, 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Client(InetSocketAddress address) throws IOException {
        this(address, 0);
    }

    static String newId() {
        return String.format("%016x", 0x9c41_0000_0000L + SEQUENCE.incrementAndGet());
    }

    /** Sends a request; [headers] are further header lines. */
    void send(String method, String path, String id, long deadlineMillis, String headers, byte[] body)
            throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\n" + Engine.ID + ": " + id + "\r\n"
            + "X-Pistachiopass-Deadline-Remaining: " + deadlineMillis + "\r\nAuthorization: Token " + KEY + "\r\n"
            + headers + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        byte[] bytes = new byte[head.length() + body.length];
        System.arraycopy(Http.bytes(head), 0, bytes, 0, head.length());
        System.arraycopy(body, 0, bytes, head.length(), body.length);
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    static final String PROMPT = "X-Pistachiopass-Model: m\r\nX-Pistachiopass-Token-Count: 1460,80\r\n"
        + "X-Pistachiopass-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";

    Http read() throws IOException {
        return Http.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
