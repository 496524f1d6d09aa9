import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine that runs each request by its handler, unless the request expects another engine. */
final class Engine implements AutoCloseable {
    static final String ID = "X-Pistachiopass-Attempt-Id";

    /** Answers one request on its connection. */
    interface Handler {
        void run(Engine engine, Http request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    final String zone;
    private volatile long bornMillis = System.currentTimeMillis();
    final AtomicInteger runs = new AtomicInteger();
    /** Runs by the id of the request. */
    final ConcurrentHashMap<String, Integer> runsById = new ConcurrentHashMap<>();
    volatile Handler handler;
    private final Trial trial;
    private final Store store;
    private volatile ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> sockets = new ArrayList<>();

    Engine(Trial trial, Store store, String id, String service, String zone, Handler handler) throws IOException {
        this.trial = trial;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.handler = handler;
        trial.engines.add(this);
        Trial.start("engine-" + id, this::accept);
        publish("ready");
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void publish(String state) {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":16,\"state\":\"" + state
            + "\",\"coldRemainingMs\":0,\"stage\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,"
            + "\"adapters\":[]}],\"sequence\":1,\"born\":" + bornMillis + "}");
    }

    /** Ends as by a crash: all connections are reset; after [downMillis] the engine is back and holds nothing. */
    void crash(long downMillis) throws IOException {
        int port;
        synchronized (sockets) {
            if (server.isClosed()) return;
            port = server.getLocalPort();
            server.close();
            for (Socket socket : sockets) {
                if (socket.isClosed()) continue;
                socket.setSoLinger(true, 0);
                socket.close();
            }
            sockets.clear();
        }
        Trial.start("restart", () -> {
            Trial.sleep(downMillis);
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 200);
            bornMillis = System.currentTimeMillis();
            Trial.start("engine-" + id, this::accept);
            publish("ready");
        });
    }

    boolean isDown() {
        return server.isClosed() || !server.isBound();
    }

    private void accept() throws IOException {
        ServerSocket server = this.server;
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            synchronized (sockets) {
                sockets.add(socket);
            }
            Trial.start("engine-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http request = Http.read(in); request != null && request.isComplete; request = Http.read(in)) {
                String expected = request.header("X-Pistachiopass-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    answer(out, request, "421 Misdirected Request", "X-Pistachiopass-Not-Executed: 1\r\n", new byte[0]);
                    continue;
                }
                runs.incrementAndGet();
                runsById.merge(String.valueOf(request.header(ID)), 1, Integer::sum);
                handler.run(this, request, socket, out);
            }
        }
    }

    /** Writes a whole answer; [headers] are further header lines. */
    void answer(OutputStream out, Http request, String status, String headers, byte[] body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + ID + ": " + request.header(ID) + "\r\n" + headers
            + "Content-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        out.flush();
    }

    String stamp() {
        return "X-Pistachiopass-Response-Stamp: " + id + "." + runs.get() + "\r\n";
    }

    /** A handler that works for [millis] and answers with a body of [bytes]. */
    static Handler plain(long millis, int bytes) {
        return (engine, request, socket, out) -> {
            Trial.sleep(millis);
            byte[] body = new byte[bytes];
            for (int i = 0; i < bytes; i++) body[i] = (byte) ('a' + i % 26);
            engine.answer(out, request, "200 OK", engine.stamp() + "Content-Type: application/json\r\n", body);
        };
    }

    /** A handler that streams [events] events with ids 1, 2 and so on. */
    static Handler stream(int events, long pauseMillis, int step) {
        return (engine, request, socket, out) -> {
            out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + ID + ": " + request.header(ID) + "\r\n" + engine.stamp()
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            String last = request.header("Last-Event-Id");
            int from = last == null ? 1 : Integer.parseInt(last) / step + 1;
            for (int i = from; i <= events; i++) {
                chunk(out, "id: " + i * step + "\ndata: piece " + i + " of " + events + "\n\n");
                Trial.sleep(pauseMillis);
            }
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
        };
    }

    static void chunk(OutputStream out, String text) throws IOException {
        out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
        synchronized (sockets) {
            for (Socket socket : sockets) socket.close();
        }
    }
}
