import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An engine: registers in the store and serves each connection with a behaviour. */
final class Engine {
    /** One request that has been read, its body apart from that which the behaviour is to read. */
    static final class Exchange {
        final Engine engine;
        final Socket socket;
        final Request request;
        final InputStream in;
        final OutputStream out;
        boolean isClosed;

        Exchange(Engine engine, Socket socket, Request request, InputStream in) throws IOException {
            this.engine = engine;
            this.socket = socket;
            this.request = request;
            this.in = in;
            this.out = socket.getOutputStream();
        }

        byte[] readBody() throws IOException {
            return Request.read(in, request.length());
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        String head(int status, String more) {
            return "HTTP/1.1 " + status + " X\r\nX-Pistachiopass-Attempt-Id: " + request.id()
                + "\r\nX-Pistachiopass-Response-Stamp: " + engine.id + "." + engine.born + "\r\n" + more + "\r\n";
        }

        void answer(int status, byte[] body) throws IOException {
            write(head(status, "Content-Length: " + body.length + "\r\n"));
            out.write(body);
            out.flush();
        }

        /** Answers with a stream of [events], one each [gapMillis]. */
        void answerStream(int events, int gapMillis) throws IOException, InterruptedException {
            write(head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            for (int event = 0; event < events; event++) {
                String text = "id: " + event + "\ndata: " + "t".repeat(70) + "\n\n";
                write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                Thread.sleep(gapMillis);
            }
            write("0\r\n\r\n");
        }

        /** Answers that the request was not executed. */
        void shed(int status) throws IOException {
            write("HTTP/1.1 " + status + " X\r\nX-Pistachiopass-Attempt-Id: " + request.id()
                + "\r\nX-Pistachiopass-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            close();
        }

        void close() throws IOException {
            isClosed = true;
            socket.close();
        }
    }

    interface Behaviour {
        void serve(Exchange exchange) throws Exception;
    }

    final String id;
    final String address;
    private final String service;
    private final String zone;
    private final Store store;
    private final Behaviour behaviour;
    private final int receiveBufferBytes;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final String host;
    private final int port;
    private ServerSocket listener;
    volatile long born;

    Engine(String id, String host, int port, String service, String zone, Store store, int receiveBufferBytes,
            Behaviour behaviour) throws IOException {
        this.id = id;
        this.host = host;
        this.port = port;
        this.address = host + ":" + port;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.behaviour = behaviour;
        this.receiveBufferBytes = receiveBufferBytes;
        start();
    }

    synchronized void start() throws IOException {
        born = System.currentTimeMillis();
        ServerSocket next = new ServerSocket();
        next.setReuseAddress(true);
        if (receiveBufferBytes > 0) next.setReceiveBufferSize(receiveBufferBytes);
        next.bind(new InetSocketAddress(InetAddress.getByName(host), port), 128);
        listener = next;
        Threads.start(() -> {
            while (true) {
                Socket socket = next.accept();
                open.add(socket);
                Threads.start(() -> serve(socket));
            }
        });
        beat();
    }

    /** Ends the engine at once, as a crash does: the listener and all connections close. */
    synchronized void crash() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        open.clear();
    }

    synchronized boolean isUp() {
        return !listener.isClosed();
    }

    /** Writes the entry in the store, as at each heartbeat. */
    synchronized void beat() {
        if (listener.isClosed()) return;
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":11,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"unified\","
            + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":0,\"born\":" + born + "}");
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 4096);
            for (Request head = Request.readOrNull(in); head != null; head = Request.readOrNull(in)) {
                Exchange exchange = new Exchange(this, socket, head, in);
                String expected = head.headers.get("X-Pistachiopass-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    exchange.readBody();
                    exchange.shed(421);
                } else {
                    behaviour.serve(exchange);
                }
                if (exchange.isClosed) return;
            }
        } finally {
            open.remove(socket);
        }
    }
}
