package kestreldeal.scale.soak;

import java.nio.file.Path;

/**
 * One run of the soak test.
 *
 * @param senders real processes
 * @param destinations that messages are for
 * @param endpointsEach of every destination
 * @param messagesPerSecond for each sender
 * @param seconds in which messages are handed in and troubles begin
 * @param seed of all that is drawn
 * @param troubles whether anything goes wrong
 * @param faults whether system calls fail too, which needs a C compiler
 * @param folder for what the senders need and say
 */
record SoakSettings(int senderCount, int destinationCount, int endpointsPerDestination, double messagesPerSenderSecond, int seconds, long seed,
                    boolean injectFaults, boolean injectSystemCallFaults, Path directory) {
    /** Classes of messages, as the senders' settings have them. */
    enum MessageClass {
        ORDER("order", 1500, 8000, 3000), PAYMENT("payment", 2000, 7000, 0);

        final String wireName;
        final int targetLatencyMs;
        final int deadlineMs;
        /** For so long repeats are dropped; 0 if it must not run twice. */
        final int dedupWindowMs;

        MessageClass(String wireName, int targetLatencyMs, int deadlineMs, int dedupWindowMs) {
            this.wireName = wireName;
            this.targetLatencyMs = targetLatencyMs;
            this.deadlineMs = deadlineMs;
            this.dedupWindowMs = dedupWindowMs;
        }

        boolean isUnsafe() {
            return dedupWindowMs == 0;
        }
    }

    /** Nothing new goes to an endpoint so long after word that it drains or is gone. */
    static final int DRAIN_GRACE_MS = 1000;
    static final int MAX_ATTEMPTS = 12;
}
