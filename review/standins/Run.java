import java.nio.file.Path;

/** Runs one case: {@code Run CASE RECORD}. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Run {
    /** A case; [hasTrouble] is false for the run without the disruption. */
    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(Record record, boolean hasTrouble) throws Exception;
    }

    private Run() {
    }

    public static void main(String[] args) throws Exception {
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
            record.log("case " + args[0] + (hasTrouble ? "" : " without its disruption"));
            try {
                boolean isBroken = caseOf(args[0]).run(record, hasTrouble);
                record.log(isBroken ? "RULE BROKEN" : "rule kept");
                status = isBroken ? 1 : 0;
            } catch (Exception e) {
                record.log("the case could not run: " + e);
                e.printStackTrace();
            }
        }
        System.exit(status);
    }

    private static Case caseOf(String name) {
        return switch (name) {
            case "early-reset" -> new EarlyReset();
            case "stop-slow-reader" -> new StopSlowReader();
            case "deadly-first" -> new DeadlyFirst();
            case "odd-entry" -> new OddEntry();
            case "endless-body" -> new EndlessBody();
            default -> throw new IllegalArgumentException("unknown case " + name);
        };
    }
}
