import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The memory of one engine that is set aside by tickets, as the orders to reserve and to release state it. */
final class Memory {
    static final class Ticket {
        final double sinceMillis;
        double endMillis;
        boolean wasUsed;

        Ticket(double sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    private final Trial trial;
    private final String engine;
    private final Map<String, Ticket> tickets = new HashMap<>();
    /** Longest time for which a ticket was set aside without use, and which. */
    double longestIdleMillis;
    String longestIdle = "none";

    Memory(Trial trial, String engine) {
        this.trial = trial;
        this.engine = engine;
    }

    /** Answers an order. */
    synchronized void order(Engine server, Http request, OutputStream out) throws java.io.IOException {
        String operation = field(request.text(), "operation");
        String id = field(request.text(), "id");
        expire();
        if (operation.equals("reserve")) {
            double holdMillis = Double.parseDouble(field(request.text(), "holdMs"));
            boolean isNew = !tickets.containsKey(id);
            Ticket ticket = tickets.computeIfAbsent(id, i -> new Ticket(trial.now()));
            ticket.endMillis = trial.now() + holdMillis;
            if (isNew) trial.note("%s: %s tokens set aside for ticket %s, %.0f ms", engine,
                field(request.text(), "tokens"), id, holdMillis);
        } else if (operation.equals("release") && tickets.containsKey(id)) {
            end(id, trial.now());
        }
        server.answer(out, request, "200 OK", "Content-Type: application/json\r\n", Http.bytes("{\"free\":400000}"));
    }

    /** Marks the ticket as used; returns whether it is held. */
    synchronized boolean use(String id) {
        expire();
        Ticket ticket = tickets.get(id);
        if (ticket != null) ticket.wasUsed = true;
        return ticket != null;
    }

    /** Ends the tickets whose time has passed, and notes how long those still held have been idle. */
    synchronized void expire() {
        for (String id : new java.util.ArrayList<>(tickets.keySet())) {
            Ticket ticket = tickets.get(id);
            if (ticket.endMillis < trial.now()) end(id, ticket.endMillis);
            else if (!ticket.wasUsed) idle(id, trial.now() - ticket.sinceMillis);
        }
    }

    private void end(String id, double atMillis) {
        Ticket ticket = tickets.remove(id);
        double heldMillis = atMillis - ticket.sinceMillis;
        if (!ticket.wasUsed) idle(id, heldMillis);
        trial.note("%s: ticket %s ended, %s, after %.0f ms", engine, id, ticket.wasUsed ? "used" : "never used",
            heldMillis);
    }

    private void idle(String id, double millis) {
        if (millis <= longestIdleMillis) return;
        longestIdleMillis = millis;
        longestIdle = id;
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }
}
