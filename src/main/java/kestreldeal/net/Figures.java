package kestreldeal.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What this process has done since it started, and how it is told to the operators' collector. */
final class Figures {
    /** How a message that clients handed in has ended. */
    enum End {
        /** Delivered. */
        COMPLETED,
        /** Turned away, or handed back by a notice. */
        REJECTED,
        /** Given up with no promise about its effect. */
        FAILED
    }

    private static final String PREFIX = "edge_gw_";

    private final List<String> classes;
    private final Map<End, Map<String, Long>> ends = new LinkedHashMap<>();
    private long written;

    Figures(List<String> classes) {
        this.classes = classes;
        for (End end : End.values()) {
            ends.put(end, new LinkedHashMap<>());
        }
    }

    /** A message of this class has ended; a class that is no longer served is not counted. */
    void ended(String messageClass, End end) {
        if (classes.contains(messageClass)) {
            ends.get(end).merge(messageClass, 1L, Long::sum);
        }
    }

    /** So many messages were written whole to an endpoint. */
    void written(int messages) {
        written += messages;
    }

    /** All figures in Prometheus' text form, with what the sender holds, its list and its journal as they are now. */
    String text(int pending, int members, int avoided, long journalFailures, boolean journalBehind) {
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
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
