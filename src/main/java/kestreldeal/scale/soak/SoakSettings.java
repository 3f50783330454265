package kestreldeal.scale.soak;

import java.nio.file.Path;

/**
 * Settings of one run of the soak test.
 *
 * @param senderCount number of sender processes
 * @param destinationCount number of destinations of messages
 * @param endpointsPerDestination endpoints of each destination
 * @param messagesPerSenderSecond mean rate at which clients submit messages to each sender
 * @param seconds time in which clients submit messages and faults start
 * @param seed of all random numbers
 * @param injectFaults whether faults are injected at all
 * @param injectSystemCallFaults whether system calls of the senders fail too, which needs a C compiler
 * @param directory for the configuration, state, logs and traces of the senders
 */
record SoakSettings(int senderCount, int destinationCount, int endpointsPerDestination, double messagesPerSenderSecond,
                    int seconds, long seed, boolean injectFaults, boolean injectSystemCallFaults, Path directory) {
    /** The message classes in the senders' configuration. */
    enum MessageClass {
        ORDER("order", 1500, 8000, 3000), PAYMENT("payment", 2000, 7000, 0);

        final String wireName;
        final int targetLatencyMs;
        final int deadlineMs;
        /** Time in which destinations drop repeats of a key; 0 if a message must not be processed twice at all. */
        final int dedupWindowMs;

        MessageClass(String wireName, int targetLatencyMs, int deadlineMs, int dedupWindowMs) {
            this.wireName = wireName;
            this.targetLatencyMs = targetLatencyMs;
            this.deadlineMs = deadlineMs;
            this.dedupWindowMs = dedupWindowMs;
        }

        /** Whether destinations don't drop repeats, so that a message must not be sent again once it may have run. */
        boolean isUnsafe() {
            return dedupWindowMs == 0;
        }
    }

    /** Time after the notification that an endpoint drains or is removed in which it may still receive new calls. */
    static final int DRAIN_GRACE_MS = 1000;
    static final int MAX_ATTEMPTS = 12;
}
