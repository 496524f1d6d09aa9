import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: reads of all items in pages, and watches by long polling. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision) {
        String json() {
            return value == null
                ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"
                : "{\"key\":\"" + key + "\",\"value\":\""
                    + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
                    + "\",\"revision\":" + revision + ",\"created\":" + revision + ",\"lease\":0}";
        }
    }

    private final Trial trial;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private long revision = 100;
    private volatile boolean isSilent;

    Store(Trial trial) throws IOException {
        this.trial = trial;
        Trial.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes an item; the return of this call is the acknowledgement. */
    synchronized void put(String key, String value) {
        Item item = new Item(key, value, ++revision);
        items.put(key, item);
        history.add(item);
        notifyAll();
        trial.note("store: %s written, revision %d", key, revision);
    }

    synchronized void remove(String key) {
        items.remove(key);
        history.add(new Item(key, null, ++revision));
        notifyAll();
        trial.note("store: %s removed, revision %d", key, revision);
    }

    /** While silent, the store takes connections and calls and answers none. */
    void setSilent(boolean isSilent) {
        this.isSilent = isSilent;
        trial.note("store: %s", isSilent ? "silent" : "answers");
        if (!isSilent) {
            synchronized (sockets) {
                sockets.forEach(Store::closeQuietly);
                sockets.clear();
            }
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            synchronized (sockets) {
                sockets.add(socket);
            }
            Trial.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http call = Http.read(in); call != null; call = Http.read(in)) {
                String answer = answerTo(call);
                if (isSilent) {
                    Trial.sleep(120_000);
                    return;
                }
                byte[] body = answer.getBytes(StandardCharsets.UTF_8);
                String status = answer.isEmpty() ? "404 Not Found" : "200 OK";
                out.write(Http.bytes("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        }
    }

    private String answerTo(Http call) throws InterruptedException {
        Map<String, String> query = new HashMap<>();
        String[] parts = call.target().split("\\?", 2);
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] entry = pair.split("=", 2);
                query.put(entry[0], URLDecoder.decode(entry.length > 1 ? entry[1] : "", StandardCharsets.UTF_8));
            }
        }
        return switch (parts[0]) {
            case "/pistachiopass/kv-range" -> range(query);
            case "/pistachiopass/kv-watch" -> watch(query);
            default -> "";
        };
    }

    private synchronized String range(Map<String, String> query) {
        List<String> entries = new ArrayList<>();
        String after = query.getOrDefault("after", "");
        for (Item item : items.tailMap(after, after.isEmpty()).values()) {
            if (item.key().startsWith(query.getOrDefault("pathPrefix", ""))) entries.add(item.json());
        }
        return "{\"entries\":[" + String.join(",", entries) + "],\"hasMore\":false,\"storeRevision\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (revision <= after && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        List<String> events = new ArrayList<>();
        for (Item item : history) {
            if (item.revision() > after) events.add(item.json());
        }
        return "{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}";
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
