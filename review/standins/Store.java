import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** The platform's store: items with revisions, pages of items, and watches that wait for a change. */
final class Store implements AutoCloseable {
    private record Item(String key, byte[] value, long revision) {
        String json() {
            String end = value == null ? "\"removed\":true}"
                : "\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"created\":" + revision + ",\"lease\":0}";
            return "{\"key\":\"" + key + "\",\"revision\":" + revision + "," + end;
        }
    }

    private static final int PAGE = 500;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final HttpServer server;
    private long revision = 1;

    Store(String host, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 64);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/pistachiopass/kv-range", this::range);
        server.createContext("/pistachiopass/kv-watch", this::watch);
        server.createContext("/pistachiopass/kv-key", this::key);
        server.start();
    }

    synchronized void put(String key, String value) {
        Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8), ++revision);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Item(key, null, ++revision));
        notifyAll();
    }

    private void range(HttpExchange exchange) throws IOException {
        Map<String, String> query = queryOf(exchange);
        String prefix = query.getOrDefault("pathPrefix", "");
        String after = query.getOrDefault("after", "");
        String body;
        synchronized (this) {
            List<Item> matching = items.values().stream()
                .filter(it -> it.key.startsWith(prefix) && it.key.compareTo(after) > 0)
                .collect(Collectors.toList());
            List<Item> page = matching.subList(0, Math.min(PAGE, matching.size()));
            body = "{\"entries\":[" + page.stream().map(Item::json).collect(Collectors.joining(",")) + "],\"hasMore\":"
                + (matching.size() > PAGE) + ",\"storeRevision\":" + revision + "}";
        }
        respond(exchange, 200, body);
    }

    private void watch(HttpExchange exchange) throws IOException {
        Map<String, String> query = queryOf(exchange);
        String prefix = query.getOrDefault("pathPrefix", "");
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Math.min(30_000, Long.parseLong(query.get("waitMs"))) * 1_000_000;
        String body;
        synchronized (this) {
            while (history.stream().noneMatch(it -> it.revision > after && it.key.startsWith(prefix))) {
                long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
                if (leftMillis <= 0) break;
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    break;
                }
            }
            body = "{\"events\":[" + history.stream()
                .filter(it -> it.revision > after && it.key.startsWith(prefix))
                .map(Item::json).collect(Collectors.joining(",")) + "],\"storeRevision\":" + revision + "}";
        }
        respond(exchange, 200, body);
    }

    private void key(HttpExchange exchange) throws IOException {
        Item item;
        synchronized (this) {
            item = items.get(queryOf(exchange).getOrDefault("key", ""));
        }
        respond(exchange, item == null ? 404 : 200, item == null ? "{}" : item.json());
    }

    private static Map<String, String> queryOf(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
