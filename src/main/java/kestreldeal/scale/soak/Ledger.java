package kestreldeal.scale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import kestreldeal.scale.soak.SoakSettings.MessageClass;

/**
 * What became of each message as clients, endpoints and the platform saw it, and the rules judged on that. Times are
 * milliseconds of the test's own clock. All calls are of the one thread that plays the senders' surroundings.
 */
final class Ledger {
    /** The protocol's slack on every time limit. */
    private static final double PROTOCOL_SLACK_MS = 50;
    /** From the end of a message's time until it is lost. */
    private static final double RESULT_GRACE_MS = 300;
    /** Calls that come so soon after a wait is told are let through; a sender may be held up for some time at its write. */
    private static final double RETRY_AFTER_GRACE_MS = 100 + 150;
    /** Once it is ready again, a sender has so long for the ends that fell due while it was not. */
    private static final double RESTART_GRACE_MS = 1500;

    /** A rule that was broken. */
    enum Rule {
        LOST, RAN_TWICE, REPEATED_PAST_ITS_WINDOW, SENT_AFTER_DRAIN, SENT_IN_A_WAIT, WRONG_DESTINATION, UNKNOWN_MESSAGE,
        UNANSWERED_REQUEST, BAD_CLIENT_LEFT, SENDER_ENDED, NOT_READY, REPORTED_BY_SENDER
    }

    /** One breach, with the sender and the message that it is about. */
    record Breach(Rule rule, int sender, String id, double atMs, String detail) {
    }

    /** A message under one id, as a client handed it in. */
    static final class Message {
        final String id;
        final String key;
        final MessageClass messageClass;
        final int destination;
        final int sender;
        final double submittedAtMs;
        final double budgetMs;
        boolean isAccepted;
        boolean isDelivered;
        boolean isNoticed;
        boolean isChecked;

        Message(String id, String key, MessageClass messageClass, int destination, int sender, double submittedAtMs,
                double budgetMs) {
            this.id = id;
            this.key = key;
            this.messageClass = messageClass;
            this.destination = destination;
            this.sender = sender;
            this.submittedAtMs = submittedAtMs;
            this.budgetMs = budgetMs;
        }
    }

    /** Of a sender: whether it is in service, and since when. */
    private static final class SenderStatus {
        double readySinceMs;
        boolean isInService;
    }

    private final Clock clock;
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Message> messagesById = new LinkedHashMap<>();
    private final Map<String, Double> firstProcessedMsByKey = new HashMap<>();
    private final Map<Long, double[]> retryAfterWaits = new HashMap<>();
    private final SenderStatus[] senderStatuses;
    private long submittedCount;
    private long acceptedCount;
    private long deliveredCount;
    private long noticedCount;

    /** The test's clock, and how late the test itself was of late, which no sender answers for. */
    interface Clock {
        double nowMs();

        double schedulingDelayMs();
    }

    Ledger(int senderCount, Clock clock) {
        this.clock = clock;
        senderStatuses = new SenderStatus[senderCount];
        for (int i = 0; i < senderCount; i++) {
            senderStatuses[i] = new SenderStatus();
        }
    }

    void recordBreach(Rule rule, int sender, String id, String detail) {
        breaches.add(new Breach(rule, sender, id, clock.nowMs(), detail));
    }

    List<Breach> breaches() {
        return breaches;
    }

    private double slackMs() {
        return PROTOCOL_SLACK_MS + clock.schedulingDelayMs();
    }

    // ---- senders' lives ----

    /** It is told to end, or killed. */
    void senderStopping(int sender) {
        senderStatuses[sender].isInService = false;
    }

    /** Its process is gone: a restart ends told waits. */
    void senderExited(int sender) {
        retryAfterWaits.keySet().removeIf(key -> key >> 32 == sender);
    }

    void senderReady(int sender) {
        senderStatuses[sender].isInService = true;
        senderStatuses[sender].readySinceMs = clock.nowMs();
    }

    /** Whether it is in service, and was a moment ago. */
    boolean isInService(int sender) {
        return senderStatuses[sender].isInService;
    }

    // ---- messages ----

    /** The last byte of a request is written. */
    void messageSubmitted(Message message) {
        submittedCount++;
        messagesById.put(message.id, message);
    }

    /** Its client has read in time that it is taken on. */
    void messageAccepted(Message message) {
        acceptedCount++;
        message.isAccepted = true;
    }

    /** The sender and class of a message; null if no client handed it in. */
    Message findMessage(String id) {
        return messagesById.get(id);
    }

    /** A call with this message has come, whole, to an endpoint of a destination that was last listed so long ago. */
    void callReceived(Message message, int destination, double drainingSinceMs) {
        double nowMs = clock.nowMs();
        if (message.destination != destination) {
            recordBreach(Rule.WRONG_DESTINATION, message.sender, message.id, "called at " + destination);
        }
        if (drainingSinceMs + SoakSettings.DRAIN_GRACE_MS + slackMs() < nowMs) {
            recordBreach(Rule.SENT_AFTER_DRAIN, message.sender, message.id, (long) (nowMs - drainingSinceMs) + " ms after the word");
        }
        double[] wait = retryAfterWaits.get(senderDestinationKey(message.sender, destination));
        if (wait != null && nowMs > wait[0] + RETRY_AFTER_GRACE_MS + slackMs() && nowMs < wait[1]) {
            recordBreach(Rule.SENT_IN_A_WAIT, message.sender, message.id, (long) (wait[1] - nowMs) + " ms before its end");
        }
    }

    /** It takes effect there, or may have. */
    void messageProcessed(Message message) {
        double nowMs = clock.nowMs();
        Double firstMs = firstProcessedMsByKey.putIfAbsent(message.key, nowMs);
        if (firstMs == null) {
            return;
        }
        if (message.messageClass.isUnsafe()) {
            recordBreach(Rule.RAN_TWICE, message.sender, message.id, (long) (nowMs - firstMs) + " ms after the first time");
        } else if (nowMs > firstMs + message.messageClass.dedupWindowMs + slackMs()) {
            recordBreach(Rule.REPEATED_PAST_ITS_WINDOW, message.sender, message.id, (long) (nowMs - firstMs) + " ms after");
        }
    }

    /** An endpoint has written that it is delivered. */
    void messageDelivered(Message message) {
        deliveredCount += message.isDelivered ? 0 : 1;
        message.isDelivered = true;
    }

    /** The platform has heard the end of a message by a notice. */
    void noticeReceived(String id) {
        Message message = messagesById.get(id);
        if (message == null) {
            recordBreach(Rule.UNKNOWN_MESSAGE, -1, id, "a notice");
            return;
        }
        noticedCount += message.isNoticed ? 0 : 1;
        message.isNoticed = true;
    }

    /** An endpoint has written that this sender has to wait. */
    void retryAfterSent(int sender, int destination, double retryAfterMs) {
        double nowMs = clock.nowMs();
        double[] wait = retryAfterWaits.computeIfAbsent(senderDestinationKey(sender, destination), absentKey -> new double[] {nowMs, nowMs});
        if (wait[1] < nowMs) {
            wait[0] = nowMs;
        }
        wait[1] = Math.max(wait[1], nowMs + retryAfterMs);
    }

    private static long senderDestinationKey(int sender, int destination) {
        return (long) sender << 32 | destination;
    }

    // ---- the judgement ----

    /** Looks for messages that were taken on and have no end though it is due; true once none can be lost any more. */
    boolean checkResults() {
        double nowMs = clock.nowMs();
        boolean anyUnchecked = false;
        for (Message message : messagesById.values()) {
            if (message.isChecked) {
                continue;
            }
            double dueMs = message.submittedAtMs + message.budgetMs + RESULT_GRACE_MS + slackMs();
            SenderStatus status = senderStatuses[message.sender];
            if (!message.isAccepted || message.isDelivered || message.isNoticed) {
                message.isChecked = nowMs > dueMs;
            } else if (status.isInService && nowMs > Math.max(dueMs, status.readySinceMs + RESTART_GRACE_MS + slackMs())) {
                message.isChecked = true;
                recordBreach(Rule.LOST, message.sender, message.id, message.messageClass + " handed in at " + (long) message.submittedAtMs
                        + " with " + (long) message.budgetMs + " ms");
            }
            anyUnchecked |= !message.isChecked;
        }
        return !anyUnchecked;
    }

    /** Figures of the run, for its line of results. */
    Map<String, Object> summary() {
        Map<String, Object> summary = new LinkedHashMap<>();
        summary.put("handed_in", submittedCount);
        summary.put("taken", acceptedCount);
        summary.put("delivered", deliveredCount);
        summary.put("ended_by_notice", noticedCount);
        summary.put("breaches", breaches.size());
        for (Rule rule : Rule.values()) {
            long count = breaches.stream().filter(breach -> breach.rule() == rule).count();
            if (count > 0) {
                summary.put(rule.name().toLowerCase(Locale.ROOT), count);
            }
        }
        return summary;
    }
}
