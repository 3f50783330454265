package kestreldeal.net;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;

/** Counters of this process since its start, and their export for the operators' metrics collector. */
final class Metrics {
    /** Results of submitted messages. */
    enum Completion {
        /** Delivered. */
        COMPLETED,
        /** Rejected on submission, or later by a notice. */
        REJECTED,
        /** Failed; the message may or may not have taken effect. */
        FAILED
    }

    /** Why a message was rejected on submission. */
    enum RejectionReason {
        /** The endpoint list or the journal has not been read yet. */
        NOT_READY,
        /** There are too many pending messages, or the journal is full. */
        NO_ROOM,
        /** The client's budget may already be used up. */
        TOO_LITTLE_TIME,
        /** The journal can't be written. */
        JOURNAL,
        /** No endpoint list has ever named the destination. */
        UNKNOWN_DESTINATION
    }

    private static final String PREFIX = "edge_gw_";

    private final List<String> classes;
    private final Map<Completion, Map<String, Long>> completions = new LinkedHashMap<>();
    private final Map<RejectionReason, Long> rejections = new EnumMap<>(RejectionReason.class);
    private final Map<SendGuard.SuppressionReason, Long> suppressedAttempts =
            new EnumMap<>(SendGuard.SuppressionReason.class);
    private final Map<ClientServer.CloseReason, Long> clientCloses = new EnumMap<>(ClientServer.CloseReason.class);
    private final Map<EndpointClient.DiscardReason, Long> discardedResults =
            new EnumMap<>(EndpointClient.DiscardReason.class);
    private long messagesWritten;

    Metrics(List<String> classes) {
        this.classes = classes;
        for (Completion completion : Completion.values()) {
            completions.put(completion, new LinkedHashMap<>());
        }
    }

    /** Counts the result of a message, unless its class is no longer configured. */
    void messageCompleted(String messageClass, Completion completion) {
        if (classes.contains(messageClass)) {
            completions.get(completion).merge(messageClass, 1L, Long::sum);
        }
    }

    /** Counts a message that was rejected on submission. */
    void messageRejected(RejectionReason reason) {
        rejections.merge(reason, 1L, Long::sum);
    }

    /** Counts an attempt that was started but not written. */
    void attemptSuppressed(SendGuard.SuppressionReason reason) {
        suppressedAttempts.merge(reason, 1L, Long::sum);
    }

    /** Counts a result of a message that was read from an endpoint's response but not used. */
    void resultDiscarded(EndpointClient.DiscardReason reason) {
        discardedResults.merge(reason, 1L, Long::sum);
    }

    /** Counts a step of closing a client connection; one that lingers is counted under two reasons. */
    void clientClosed(ClientServer.CloseReason reason) {
        clientCloses.merge(reason, 1L, Long::sum);
    }

    /** Counts messages that were written completely to an endpoint. */
    void messagesWritten(int count) {
        messagesWritten += count;
    }

    /** All metrics in the Prometheus text format, with the current values of those that are not counted here. */
    String toPrometheusText(int pendingMessages, int listedEndpoints, int unavailableEndpoints,
            long journalWriteFailures, boolean journalBehind, Invariants invariants) {
        StringBuilder text = new StringBuilder();
        completions.forEach((completion, counts) -> {
            for (String messageClass : classes) {
                appendValue(text, completion.name().toLowerCase(Locale.ROOT) + "_total{lane=\"" + messageClass + "\"}",
                        counts.getOrDefault(messageClass, 0L));
            }
        });
        appendValue(text, "upstream_requests_total", messagesWritten);
        appendValue(text, "pending", pendingMessages);
        appendValue(text, "members", listedEndpoints);
        appendValue(text, "members_unavailable", unavailableEndpoints);
        appendValue(text, "journal_write_failures_total", journalWriteFailures);
        appendValue(text, "journal_behind", journalBehind ? 1 : 0);
        appendByReason(text, "refusals_total", Metrics.RejectionReason.values(),
                reason -> rejections.getOrDefault(reason, 0L));
        appendByReason(text, "calls_held_back_total", SendGuard.SuppressionReason.values(),
                reason -> suppressedAttempts.getOrDefault(reason, 0L));
        appendByReason(text, "results_discarded_total", EndpointClient.DiscardReason.values(),
                reason -> discardedResults.getOrDefault(reason, 0L));
        appendByReason(text, "client_closes_total", ClientServer.CloseReason.values(),
                reason -> clientCloses.getOrDefault(reason, 0L));
        appendByReason(text, "invariant_breaches_total", Invariants.Rule.values(), invariants::breachCount);
        return text.toString();
    }

    private static <R extends Enum<R>> void appendByReason(StringBuilder text, String name, R[] reasons,
            ToLongFunction<R> count) {
        for (R reason : reasons) {
            appendValue(text, name + "{reason=\"" + reason.name().toLowerCase(Locale.ROOT) + "\"}",
                    count.applyAsLong(reason));
        }
    }

    private static void appendValue(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
