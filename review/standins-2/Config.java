/** The configuration of a small deployment: streams to model engines, bookings and lookups to a plain service. */
final class Config {
    static final String LLM = "huvo11a";
    static final String DESK = "wuno96b";
    static final String STREAM = "/lohu930/2f";
    static final String AUDIT = "/pufi791/2f";
    static final String BOOKING = "/puxa403/2f";
    static final String LOOKUP = "/cufi504/fi50/2f";

    static String json(long version, String keys, long lookupTimeoutMillis, long coldPerS) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-1\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"streaming\","
            + "\"timeoutMs\":10000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"" + LLM + "\",\"maxAttempts\":2,"
            + "\"public\":false,\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":200},"
            + "{\"name\":\"r-4\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/pufi791/\",\"kind\":\"streaming\","
            + "\"timeoutMs\":15000,\"targetLatencyMs\":3000,\"priority\":1,\"service\":\"" + LLM
            + "\",\"maxAttempts\":2,\"public\":false,\"sessionAffinity\":true,\"streamResume\":true,"
            + "\"gapTargetMs\":800},"
            + "{\"name\":\"r-2\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"kind\":"
            + "\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":193,\"priority\":2,\"service\":\"" + DESK
            + "\",\"maxAttempts\":1,\"public\":false},"
            + "{\"name\":\"r-3\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/cufi504/\",\"kind\":\"idempotent\","
            + "\"timeoutMs\":" + lookupTimeoutMillis + ",\"targetLatencyMs\":193,\"priority\":2,\"service\":\"" + DESK
            + "\",\"maxAttempts\":2,\"public\":false}],\"services\":["
            + "{\"name\":\"" + LLM + "\",\"healthPath\":\"/health\",\"maxConnections\":434,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":38.0,\"engine\":{\"slots\":16,\"kvCapacity\":450000,"
            + "\"kvTokenBytes\":327680,\"stride\":46,\"models\":[{\"name\":\"m\"}],\"step_ms\":0.925,"
            + "\"per_seq_ms\":0.007,\"context_per_k\":0.00254,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,"
            + "\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":13239,\"answer\":1540},\"hopMs\":0.1}},"
            + "{\"name\":\"" + DESK + "\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":" + coldPerS + "}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[" + keys
            + "],\"priority\":1}]}";
    }

    static String usual() {
        return json(7, "\"" + Client.KEY + "\",\"anfqasnmgkcuyj8pjbvk\"", 1500, 0);
    }

    /** The next version: splits the first route by [weight] and the rest, and takes [Client.KEY] away. */
    static String splitWithoutKey(String weight, String rest) {
        String whole = "\"service\":\"" + LLM + "\",\"maxAttempts\"";
        String split = "\"trafficSplit\":[{\"service\":\"" + LLM + "\",\"weight\":" + weight + "},{\"service\":\""
            + DESK + "\",\"weight\":" + rest + "}],\"maxAttempts\"";
        String next = json(8, "\"anfqasnmgkcuyj8pjbvk\"", 1500, 0);
        int at = next.indexOf(whole);
        return next.substring(0, at) + split + next.substring(at + whole.length());
    }
}
