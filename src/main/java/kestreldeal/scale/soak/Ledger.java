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
    private static final double SLACK_MS = 50;
    /** From the end of a message's time until it is lost. */
    private static final double END_GRACE_MS = 300;
    /** Calls that come so soon after a wait is told are let through; a sender may be held up for some time at its write. */
    private static final double WAIT_GRACE_MS = 100 + 150;
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
        final MessageClass type;
        final int destination;
        final int sender;
        final double handedAtMs;
        final double budgetMs;
        boolean taken;
        boolean delivered;
        boolean noticed;
        boolean judged;

        Message(String id, String key, MessageClass type, int destination, int sender, double handedAtMs,
                double budgetMs) {
            this.id = id;
            this.key = key;
            this.type = type;
            this.destination = destination;
            this.sender = sender;
            this.handedAtMs = handedAtMs;
            this.budgetMs = budgetMs;
        }
    }

    /** Of a sender: whether it is in service, and since when. */
    private static final class Life {
        double readyAtMs;
        boolean isUp;
    }

    private final Clock clock;
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Message> messages = new LinkedHashMap<>();
    private final Map<String, Double> firstRuns = new HashMap<>();
    private final Map<Long, double[]> waits = new HashMap<>();
    private final Life[] lives;
    private long handedIn;
    private long taken;
    private long delivered;
    private long noticed;

    /** The test's clock, and how late the test itself was of late, which no sender answers for. */
    interface Clock {
        double nowMs();

        double lateMs();
    }

    Ledger(int senders, Clock clock) {
        this.clock = clock;
        lives = new Life[senders];
        for (int i = 0; i < senders; i++) {
            lives[i] = new Life();
        }
    }

    void breach(Rule rule, int sender, String id, String detail) {
        breaches.add(new Breach(rule, sender, id, clock.nowMs(), detail));
    }

    List<Breach> breaches() {
        return breaches;
    }

    private double slackMs() {
        return SLACK_MS + clock.lateMs();
    }

    // ---- senders' lives ----

    /** It is told to end, or killed. */
    void ends(int sender) {
        lives[sender].isUp = false;
    }

    /** Its process is gone: a restart ends told waits. */
    void gone(int sender) {
        waits.keySet().removeIf(key -> key >> 32 == sender);
    }

    void ready(int sender) {
        lives[sender].isUp = true;
        lives[sender].readyAtMs = clock.nowMs();
    }

    /** Whether it is in service, and was a moment ago. */
    boolean isUp(int sender) {
        return lives[sender].isUp;
    }

    // ---- messages ----

    /** The last byte of a request is written. */
    void handedIn(Message message) {
        handedIn++;
        messages.put(message.id, message);
    }

    /** Its client has read in time that it is taken on. */
    void taken(Message message) {
        taken++;
        message.taken = true;
    }

    /** The sender and class of a message; null if no client handed it in. */
    Message message(String id) {
        return messages.get(id);
    }

    /** A call with this message has come, whole, to an endpoint of a destination that was last listed so long ago. */
    void called(Message message, int destination, double closedSinceMs) {
        double now = clock.nowMs();
        if (message.destination != destination) {
            breach(Rule.WRONG_DESTINATION, message.sender, message.id, "called at " + destination);
        }
        if (closedSinceMs + SoakSettings.DRAIN_GRACE_MS + slackMs() < now) {
            breach(Rule.SENT_AFTER_DRAIN, message.sender, message.id, (long) (now - closedSinceMs) + " ms after the word");
        }
        double[] wait = waits.get(key(message.sender, destination));
        if (wait != null && now > wait[0] + WAIT_GRACE_MS + slackMs() && now < wait[1]) {
            breach(Rule.SENT_IN_A_WAIT, message.sender, message.id, (long) (wait[1] - now) + " ms before its end");
        }
    }

    /** It takes effect there, or may have. */
    void ran(Message message) {
        double now = clock.nowMs();
        Double first = firstRuns.putIfAbsent(message.key, now);
        if (first == null) {
            return;
        }
        if (message.type.isUnsafe()) {
            breach(Rule.RAN_TWICE, message.sender, message.id, (long) (now - first) + " ms after the first time");
        } else if (now > first + message.type.windowMs + slackMs()) {
            breach(Rule.REPEATED_PAST_ITS_WINDOW, message.sender, message.id, (long) (now - first) + " ms after");
        }
    }

    /** An endpoint has written that it is delivered. */
    void delivered(Message message) {
        delivered += message.delivered ? 0 : 1;
        message.delivered = true;
    }

    /** The platform has heard the end of a message by a notice. */
    void noticed(String id) {
        Message message = messages.get(id);
        if (message == null) {
            breach(Rule.UNKNOWN_MESSAGE, -1, id, "a notice");
            return;
        }
        noticed += message.noticed ? 0 : 1;
        message.noticed = true;
    }

    /** An endpoint has written that this sender has to wait. */
    void waitTold(int sender, int destination, double waitMs) {
        double now = clock.nowMs();
        double[] wait = waits.computeIfAbsent(key(sender, destination), unknown -> new double[] {now, now});
        if (wait[1] < now) {
            wait[0] = now;
        }
        wait[1] = Math.max(wait[1], now + waitMs);
    }

    private static long key(int sender, int destination) {
        return (long) sender << 32 | destination;
    }

    // ---- the judgement ----

    /** Looks for messages that were taken on and have no end though it is due; true once none can be lost any more. */
    boolean judge() {
        double now = clock.nowMs();
        boolean open = false;
        for (Message message : messages.values()) {
            if (message.judged) {
                continue;
            }
            double due = message.handedAtMs + message.budgetMs + END_GRACE_MS + slackMs();
            Life life = lives[message.sender];
            if (!message.taken || message.delivered || message.noticed) {
                message.judged = now > due;
            } else if (life.isUp && now > Math.max(due, life.readyAtMs + RESTART_GRACE_MS + slackMs())) {
                message.judged = true;
                breach(Rule.LOST, message.sender, message.id, message.type + " handed in at " + (long) message.handedAtMs
                        + " with " + (long) message.budgetMs + " ms");
            }
            open |= !message.judged;
        }
        return !open;
    }

    /** Figures of the run, for its line of results. */
    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("handed_in", handedIn);
        figures.put("taken", taken);
        figures.put("delivered", delivered);
        figures.put("ended_by_notice", noticed);
        figures.put("breaches", breaches.size());
        for (Rule rule : Rule.values()) {
            long count = breaches.stream().filter(breach -> breach.rule() == rule).count();
            if (count > 0) {
                figures.put(rule.name().toLowerCase(Locale.ROOT), count);
            }
        }
        return figures;
    }
}
