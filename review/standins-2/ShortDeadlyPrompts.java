/** A part of short prompts ends each engine that begins to write an answer on it. */
final class ShortDeadlyPrompts {
    private static final int PROMPT_TOKENS = 1_460;

    /** Time to read the prompt at 256 tokens a millisecond, and a step. */
    private static final long READ_MILLIS = Long.getLong("readMillis", 7);

    public static void main(String[] arguments) throws Exception {
        Trial.run(arguments[0], trial -> {
            DeadlyPart part = new DeadlyPart(trial, PROMPT_TOKENS, READ_MILLIS, trial.hasTrouble);
            double endMillis = trial.now() + 40_000;
            part.startSound(endMillis);
            part.sendDeadly(endMillis);
            Trial.sleep(2_000);
            return part.isBroken();
        });
    }
}
