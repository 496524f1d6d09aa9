/** Configurations as the operator writes them, like those of the small deployments. */
final class Config {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String PLAIN = "wuno96b";
    static final String MODEL = "huvo11a";
    static final String STREAM_PATH = "/lohu930/";
    static final String BOOKING_PATH = "/puxa403/";
    static final String LOOKUP_PATH = "/cufi504/";

    private Config() {
    }

    static String of(int version, int bookingTimeoutMillis) {
        return of(version, bookingTimeoutMillis, 4_194_304);
    }

    static String of(int version, int bookingTimeoutMillis, int bodyBytesMax) {
        return "{\"version\":" + version + ",\"routes\":["
            + route("r-stream", STREAM_PATH, "streaming", 10_000, 300, MODEL, 2,
                ",\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":200") + ","
            + route("r-booking", BOOKING_PATH, "non_idempotent", bookingTimeoutMillis, 100, PLAIN, 1, "") + ","
            + route("r-lookup", LOOKUP_PATH, "idempotent", bookingTimeoutMillis, 100, PLAIN, 2, "")
            + "],\"services\":[{\"name\":\"" + MODEL + "\",\"healthPath\":\"/health\",\"maxConnections\":304,"
            + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":28.0,\"engine\":{\"slots\":11,"
            + "\"kvCapacity\":450000,\"kvTokenBytes\":327680,\"stride\":46,\"models\":[{\"name\":\"m\"}],"
            + "\"step_ms\":0.925,\"per_seq_ms\":0.007025,\"context_per_k\":0.00254,\"read_per_s\":256000.0,"
            + "\"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":13229,\"answer\":1541},"
            + "\"hopMs\":0.1}},{\"name\":\"" + PLAIN + "\",\"healthPath\":\"/health\",\"maxConnections\":110,"
            + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + bodyBytesMax + ",\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    private static String route(String name, String path, String kind, int timeoutMillis, int targetMillis, String service,
            int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + Client.HOST + "\",\"pathPrefix\":\"" + path + "\",\"kind\":\""
            + kind + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":" + targetMillis
            + ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts + ",\"public\":false" + more + "}";
    }
}
