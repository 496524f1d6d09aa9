/** All machines are killed at once after a part that ends engines was found; requests with the part go on. */
final class AllKilled {
    private static final int PROMPT_TOKENS = 20_000;

    /** Time to read the prompt at 256 tokens a millisecond, and a step. */
    private static final long READ_MILLIS = 80;

    /** After the processes have started again; more than the time after which their machines are in touch. */
    private static final long PAUSE_MILLIS = 6_000;

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], trial -> {
            DeadlyPart part = new DeadlyPart(trial, PROMPT_TOKENS, READ_MILLIS, true);
            double endMillis = trial.now() + 50_000;
            part.startSound(endMillis);
            part.sendDeadly(trial.now() + 15_000);
            if (trial.hasTrouble) {
                for (Daemon daemon : part.daemons) daemon.signal("KILL");
                for (Daemon daemon : part.daemons) daemon.awaitEnd(2_000);
                for (Daemon daemon : part.daemons) daemon.start();
                for (Daemon daemon : part.daemons) daemon.awaitReady();
            }
            Trial.sleep(PAUSE_MILLIS);
            part.sendDeadly(endMillis);
            Trial.sleep(2_000);
            return part.isBroken();
        });
    }
}
