package kestreldeal.net;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;

/** Counters of this process since its start, and their export for the operators' metrics collector. */
final class Metrics {
    /** Final results of messages that clients submitted. */
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
        NOT_READY, NO_ROOM, TOO_LITTLE_TIME, JOURNAL, UNKNOWN_DESTINATION
    }

    private static final String PREFIX = "edge_gw_";

    private final List<String> classes;
    private final Map<Completion, Map<String, Long>> ends = new LinkedHashMap<>();
    private final Map<RejectionReason, Long> refusals = new EnumMap<>(RejectionReason.class);
    private final Map<SendGuard.SuppressionReason, Long> heldBack = new EnumMap<>(SendGuard.SuppressionReason.class);
    private final Map<ClientServer.CloseReason, Long> closes = new EnumMap<>(ClientServer.CloseReason.class);
    private long written;

    Metrics(List<String> classes) {
        this.classes = classes;
        for (Completion end : Completion.values()) {
            ends.put(end, new LinkedHashMap<>());
        }
    }

    /** Counts the final result of a message, unless its class is no longer configured. */
    void ended(String messageClass, Completion end) {
        if (classes.contains(messageClass)) {
            ends.get(end).merge(messageClass, 1L, Long::sum);
        }
    }

    /** Counts a message that was rejected on submission. */
    void refused(RejectionReason reason) {
        refusals.merge(reason, 1L, Long::sum);
    }

    /** Counts a call that was decided but not written. */
    void heldBack(SendGuard.SuppressionReason reason) {
        heldBack.merge(reason, 1L, Long::sum);
    }

    /** Counts a client connection that this process closed. */
    void closed(ClientServer.CloseReason reason) {
        closes.merge(reason, 1L, Long::sum);
    }

    /** Counts messages that were written completely to an endpoint. */
    void written(int messages) {
        written += messages;
    }

    /** All metrics in the Prometheus text format, with the current values of those that are not counted here. */
    String text(int pending, int members, int avoided, long journalFailures, boolean journalBehind,
            Invariants invariants) {
        StringBuilder text = new StringBuilder();
        ends.forEach((end, counts) -> {
            for (String c : classes) {
                line(text, end.name().toLowerCase(Locale.ROOT) + "_total{lane=\"" + c + "\"}", counts.getOrDefault(c, 0L));
            }
        });
        line(text, "upstream_requests_total", written);
        line(text, "pending", pending);
        line(text, "members", members);
        line(text, "members_unavailable", avoided);
        line(text, "journal_write_failures_total", journalFailures);
        line(text, "journal_behind", journalBehind ? 1 : 0);
        lines(text, "refusals_total", Metrics.RejectionReason.values(), r -> refusals.getOrDefault(r, 0L));
        lines(text, "calls_held_back_total", SendGuard.SuppressionReason.values(), r -> heldBack.getOrDefault(r, 0L));
        lines(text, "client_closes_total", ClientServer.CloseReason.values(), r -> closes.getOrDefault(r, 0L));
        lines(text, "invariant_breaches_total", Invariants.Rule.values(), invariants::breaches);
        return text.toString();
    }

    private static <R extends Enum<R>> void lines(StringBuilder text, String name, R[] reasons, ToLongFunction<R> count) {
        for (R reason : reasons) {
            line(text, name + "{reason=\"" + reason.name().toLowerCase(Locale.ROOT) + "\"}", count.applyAsLong(reason));
        }
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
