package kestreldeal.scale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import kestreldeal.scale.soak.SoakSettings.MessageClass;

/**
 * Records what clients, endpoints and the agent observe of each message, and reports breaches of the delivery rules.
 * Times are milliseconds of the test's own clock. All methods are called on the event loop that runs the stubs.
 */
final class Ledger {
    /** Tolerance that the protocol allows on every time limit. */
    private static final double PROTOCOL_SLACK_MS = 50;
    /** Time after the deadline of a message in which its result may still arrive; then it counts as lost. */
    private static final double RESULT_GRACE_MS = 300;
    /**
     * Calls received this soon after a Retry-After response are allowed: within 100 ms, plus 150 ms for which an
     * injected fault may delay the sender at a write.
     */
    private static final double RETRY_AFTER_GRACE_MS = 100 + 150;
    /**
     * Calls and notices received this soon after the response that ends their message are allowed: they may have been
     * on their way, and an injected fault may have delayed the sender at the write.
     */
    private static final double END_CROSSING_MS = 100 + 150;
    /** A process that exits this soon after a response was sent to it may not have read and recorded the response. */
    private static final double UNREAD_BEFORE_EXIT_MS = 500;
    /** A scheduling delay of the test from which a response may be sent on a connection that the sender has closed. */
    private static final double MAX_DELAY_FOR_CLOSE_MS = 50;
    /** Time that a restarted sender has, once it is ready, for results that fell due while it was not in service. */
    private static final double RESTART_GRACE_MS = 1500;

    /** The rules; each constant names the breach of one. */
    enum Rule {
        /** An accepted message has no final result in time. */
        LOST,
        /** A message of an unsafe class was processed more than once. */
        RAN_TWICE,
        /** A repeat was processed after the time in which the destination drops repeats of its key. */
        REPEATED_PAST_ITS_WINDOW,
        /** A call was sent to an endpoint that drains or is removed. */
        SENT_AFTER_DRAIN,
        /** A call was sent to a destination during a Retry-After wait. */
        SENT_IN_A_WAIT,
        /** A call was sent for a message after the response that ended it. */
        SENT_AFTER_END,
        /** A message was reported as rejected or failed after the response that ended it. */
        REPORTED_AFTER_END,
        WRONG_DESTINATION,
        /** A call or a notice is for a message that no client submitted. */
        UNKNOWN_MESSAGE,
        /** The sender closed a new connection without a response to its first request. */
        UNANSWERED_REQUEST,
        /** A client with an invalid request got neither a response nor a close. */
        BAD_CLIENT_LEFT,
        /** A sender's process exited unexpectedly, or could not be started, configured or sent a signal. */
        SENDER_ENDED,
        /** A sender was not ready in time after its start. */
        NOT_READY,
        /** The sender's own metric or log reports a fault. */
        REPORTED_BY_SENDER
    }

    /** A breach, with the number of the sender (-1 if unknown) and the id of the message ("-" if there is none). */
    record Breach(Rule rule, int sender, String id, double atMs, String detail) {
    }

    /** A message that a client submitted, and what is known of it. A client that submits it again uses a new id. */
    static final class Message {
        final String id;
        final String key;
        final MessageClass messageClass;
        final int destination;
        final int senderNumber;
        final double submittedAtMs;
        /** Time from the submission to the deadline. */
        final double budgetMs;
        boolean isAccepted;
        boolean isDelivered;
        /** When the first response that it is delivered was sent. */
        double deliveredAtMs = Double.POSITIVE_INFINITY;
        /** Whether a fault may keep the sender from reading, or from recording, that response. */
        boolean endMayBeLost;
        /** Whether the agent received the notice of its final result. */
        boolean isNoticed;
        /** Whether its result was checked, so that no breach for it can be found any more. */
        boolean isChecked;

        Message(String id, String key, MessageClass messageClass, int destination, int senderNumber,
                double submittedAtMs, double budgetMs) {
            this.id = id;
            this.key = key;
            this.messageClass = messageClass;
            this.destination = destination;
            this.senderNumber = senderNumber;
            this.submittedAtMs = submittedAtMs;
            this.budgetMs = budgetMs;
        }
    }

    /** Whether a sender is in service, and when it last became ready. */
    private static final class SenderStatus {
        double readySinceMs;
        double exitedAtMs = Double.NEGATIVE_INFINITY;
        boolean isInService;
        BooleanSupplier mayLoseEnds = () -> false;
    }

    private final Clock clock;
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Message> messagesById = new LinkedHashMap<>();
    private final Map<String, Double> firstProcessedMsByKey = new HashMap<>();
    /** Start and end of the last Retry-After wait of a sender for a destination. */
    private final Map<Long, double[]> retryAfterWaits = new HashMap<>();
    private final SenderStatus[] senderStatuses;
    private long submittedCount;
    private long acceptedCount;
    private long deliveredCount;
    private long noticedCount;

    /** The clock of the test. */
    interface Clock {
        double nowMs();

        /** The recent scheduling delay of the test's own event loop, which is added to all time limits. */
        double schedulingDelayMs();
    }

    Ledger(int senderCount, Clock clock) {
        this.clock = clock;
        senderStatuses = new SenderStatus[senderCount];
        for (int i = 0; i < senderCount; i++) {
            senderStatuses[i] = new SenderStatus();
        }
    }

    void recordBreach(Rule rule, int senderNumber, String id, String detail) {
        breaches.add(new Breach(rule, senderNumber, id, clock.nowMs(), detail));
    }

    List<Breach> breaches() {
        return breaches;
    }

    private double slackMs() {
        return PROTOCOL_SLACK_MS + clock.schedulingDelayMs();
    }

    // ---- sender processes ----

    /** The process of a sender is being terminated or killed. */
    void senderStopping(int senderNumber) {
        senderStatuses[senderNumber].isInService = false;
    }

    /** The process of a sender has exited. Its Retry-After waits end, since the next process doesn't know them. */
    void senderExited(int senderNumber) {
        retryAfterWaits.keySet().removeIf(key -> key >> 32 == senderNumber);
        senderStatuses[senderNumber].exitedAtMs = clock.nowMs();
    }

    /** Sets the check for whether a fault keeps the sender from reading responses, or from recording them. */
    void setMayLoseEnds(int senderNumber, BooleanSupplier mayLoseEnds) {
        senderStatuses[senderNumber].mayLoseEnds = mayLoseEnds;
    }

    void senderReady(int senderNumber) {
        senderStatuses[senderNumber].isInService = true;
        senderStatuses[senderNumber].readySinceMs = clock.nowMs();
    }

    /** Whether a sender is ready, and is not being terminated or killed. */
    boolean isInService(int senderNumber) {
        return senderStatuses[senderNumber].isInService;
    }

    // ---- messages ----

    /** A client submits a message. */
    void messageSubmitted(Message message) {
        submittedCount++;
        messagesById.put(message.id, message);
    }

    /** The client got the response that its message is accepted, before its timeout. */
    void messageAccepted(Message message) {
        acceptedCount++;
        message.isAccepted = true;
    }

    /** The message with this id, or null if no client submitted it. */
    Message findMessage(String id) {
        return messagesById.get(id);
    }

    /**
     * An endpoint has received a complete call with this message.
     *
     * @param destination of the endpoint
     * @param drainingSinceMs when the sender was notified that the endpoint drains; infinite if it does not drain
     */
    void callReceived(Message message, int destination, double drainingSinceMs) {
        double nowMs = clock.nowMs();
        if (message.destination != destination) {
            recordBreach(Rule.WRONG_DESTINATION, message.senderNumber, message.id,
                    "a call to destination " + destination);
        }
        if (drainingSinceMs + SoakSettings.DRAIN_GRACE_MS + slackMs() < nowMs) {
            recordBreach(Rule.SENT_AFTER_DRAIN, message.senderNumber, message.id,
                    (long) (nowMs - drainingSinceMs) + " ms after the notification");
        }
        if (isPastEnd(message)) {
            recordBreach(Rule.SENT_AFTER_END, message.senderNumber, message.id, pastEndDetail(message));
        }
        double[] wait = retryAfterWaits.get(senderDestinationKey(message.senderNumber, destination));
        if (wait != null && nowMs > wait[0] + RETRY_AFTER_GRACE_MS + slackMs() && nowMs < wait[1]) {
            recordBreach(Rule.SENT_IN_A_WAIT, message.senderNumber, message.id,
                    (long) (wait[1] - nowMs) + " ms before the wait ends");
        }
    }

    /** An endpoint has processed the message, whether or not the sender gets a response. */
    void messageProcessed(Message message) {
        double nowMs = clock.nowMs();
        Double firstMs = firstProcessedMsByKey.putIfAbsent(message.key, nowMs);
        if (firstMs == null) {
            return;
        }
        if (message.messageClass.isUnsafe()) {
            recordBreach(Rule.RAN_TWICE, message.senderNumber, message.id,
                    (long) (nowMs - firstMs) + " ms after the first time");
        } else if (nowMs > firstMs + message.messageClass.dedupWindowMs + slackMs()) {
            recordBreach(Rule.REPEATED_PAST_ITS_WINDOW, message.senderNumber, message.id,
                    (long) (nowMs - firstMs) + " ms after the first time");
        }
    }

    /**
     * An endpoint has sent the response that the message is delivered, whole as far as it concerns the message. The
     * sender can't read it if the process that made the call has exited since.
     */
    void messageDelivered(Message message, double callReceivedAtMs) {
        if (message.isDelivered) {
            return;
        }
        deliveredCount++;
        message.isDelivered = true;
        message.deliveredAtMs = clock.nowMs();
        SenderStatus sender = senderStatuses[message.senderNumber];
        message.endMayBeLost = sender.mayLoseEnds.getAsBoolean() || sender.exitedAtMs >= callReceivedAtMs
                || clock.schedulingDelayMs() > MAX_DELAY_FOR_CLOSE_MS;
    }

    /** Whether the sender must know by now that the message was delivered. */
    private boolean isPastEnd(Message message) {
        double exitedAtMs = senderStatuses[message.senderNumber].exitedAtMs;
        boolean exitedBeforeReading = exitedAtMs >= message.deliveredAtMs
                && exitedAtMs < message.deliveredAtMs + UNREAD_BEFORE_EXIT_MS;
        return clock.nowMs() > message.deliveredAtMs + END_CROSSING_MS + slackMs() && !message.endMayBeLost
                && !exitedBeforeReading;
    }

    private String pastEndDetail(Message message) {
        return (long) (clock.nowMs() - message.deliveredAtMs) + " ms after the response that it is delivered";
    }

    /** The agent has received the notice of the final result of a message. */
    void noticeReceived(String id) {
        Message message = messagesById.get(id);
        if (message == null) {
            recordBreach(Rule.UNKNOWN_MESSAGE, -1, id, "a notice of its result");
            return;
        }
        if (!message.isNoticed && isPastEnd(message)) {
            recordBreach(Rule.REPORTED_AFTER_END, message.senderNumber, id, pastEndDetail(message));
        }
        noticedCount += message.isNoticed ? 0 : 1;
        message.isNoticed = true;
    }

    /** An endpoint has sent this sender a response with Retry-After. */
    void retryAfterSent(int senderNumber, int destination, double retryAfterMs) {
        double nowMs = clock.nowMs();
        double[] wait = retryAfterWaits.computeIfAbsent(senderDestinationKey(senderNumber, destination),
                absentKey -> new double[] {nowMs, nowMs});
        if (wait[1] < nowMs) {
            wait[0] = nowMs;
        }
        wait[1] = Math.max(wait[1], nowMs + retryAfterMs);
    }

    private static long senderDestinationKey(int senderNumber, int destination) {
        return (long) senderNumber << 32 | destination;
    }

    // ---- check of results ----

    /** Records a breach for each accepted message without a result that is overdue; true once all are checked. */
    boolean checkResults() {
        double nowMs = clock.nowMs();
        boolean anyUnchecked = false;
        for (Message message : messagesById.values()) {
            if (message.isChecked) {
                continue;
            }
            double dueMs = message.submittedAtMs + message.budgetMs + RESULT_GRACE_MS + slackMs();
            SenderStatus status = senderStatuses[message.senderNumber];
            if (!message.isAccepted || message.isDelivered || message.isNoticed) {
                message.isChecked = nowMs > dueMs;
            } else if (status.isInService
                    && nowMs > Math.max(dueMs, status.readySinceMs + RESTART_GRACE_MS + slackMs())) {
                message.isChecked = true;
                recordBreach(Rule.LOST, message.senderNumber, message.id, message.messageClass + " submitted at "
                        + (long) message.submittedAtMs + " ms with a deadline of " + (long) message.budgetMs + " ms");
            }
            anyUnchecked |= !message.isChecked;
        }
        return !anyUnchecked;
    }

    /** Counts of messages and breaches, for the result file. */
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
