package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import kestreldeal.Relay;

/**
 * Holds every message and call against the rules, from what it is told by the world and not by the module: one final
 * answer in time, no second run of what must not run twice, repeats within their window, nothing new to what drains,
 * told waits kept. Ends the run by {@link Broken}.
 */
final class Ledger {
    /** A final answer may come so long after the time of its message. */
    private static final double GRACE_MS = 20;
    /** Nothing is overdue for so long after a sender is ready again. */
    private static final double READY_GRACE_MS = 1500;
    /** Nothing new goes to an endpoint later than this after word that it drains. */
    private static final double DRAIN_GRACE_MS = 1000;
    /** Each limit in time is so much longer. */
    private static final double SLACK_MS = 50;

    private final World world;
    private final Relay.Settings settings;
    private final Counts counts;
    private final List<Word> words = new ArrayList<>();
    private final Map<Long, Double> drainPublished = new HashMap<>();
    private final Map<Long, SimMessage> open = new HashMap<>();

    /** What one sender has been told. */
    private static final class Word {
        final Map<Integer, Wait> waits = new HashMap<>();
        final Map<Long, Double> drains = new HashMap<>();
    }

    private record Wait(double toldAt, double until) {
    }

    Ledger(World world, Relay.Settings settings, int senders, Counts counts) {
        this.world = world;
        this.settings = settings;
        this.counts = counts;
        for (int i = 0; i < senders; i++) {
            words.add(new Word());
        }
    }

    /** A sender has taken a message: it owes its end. */
    void taken(SimMessage message) {
        if (open.put(message.id, message) != null) {
            throw broken(message, "taken twice");
        }
        dueAt(message, message.deadline + GRACE_MS);
    }

    /** A message of an earlier life is there again; waits end with a life. */
    void resumed(SimMessage message) {
        dueAt(message, Math.max(message.deadline + GRACE_MS, world.now() + READY_GRACE_MS));
    }

    void restarted(HollowSender sender) {
        words.get(sender.number).waits.clear();
    }

    private void dueAt(SimMessage message, double time) {
        world.at(time, () -> {
            // What a dead sender holds falls due after its return.
            if (message.ended || !message.sender.isAlive()) {
                return;
            }
            if (!message.sender.isReadySince(world.now() - READY_GRACE_MS)) {
                dueAt(message, world.now() + READY_GRACE_MS);
                return;
            }
            throw broken(message, String.format(Locale.ROOT, "no final answer %.0f ms after its time",
                    world.now() - message.deadline));
        });
    }

    /** An attempt is decided; it is not yet among those of the message. */
    void sent(SimMessage message, HollowEndpoint endpoint) {
        if (message.ended) {
            throw broken(message, "sent after its end");
        }
        if (endpoint.partner != message.asked.partner) {
            throw broken(message, "sent to another destination's endpoint " + endpoint.id);
        }
        if (message.attempts.size() >= settings.maxAttempts()) {
            throw broken(message, "sent more than " + settings.maxAttempts() + " times");
        }
        boolean unsafe = type(message).effect() == Relay.Effect.UNSAFE;
        if (unsafe && message.attempts.stream().anyMatch(SimMessage.Attempt::mayHaveRun)) {
            throw broken(message, "sent again, though it must not run twice and may have run");
        }
        if (!settings.hedging() && message.out() > 0) {
            throw broken(message, "sent while an attempt is out");
        }
        keepWindow(message, message.attempts.size(), "sent");
    }

    /** A repeat is both decided and written within the window of the first attempt that may have run. */
    private void keepWindow(SimMessage message, int attempt, String what) {
        Relay.MessageClass type = type(message);
        if (type.effect() != Relay.Effect.KEYED) {
            return;
        }
        double now = world.now();
        message.attempts.subList(0, attempt).stream().filter(SimMessage.Attempt::mayHaveRun).findFirst()
                .filter(first -> now > first.sentAt + type.dedupWindowMs()).ifPresent(first -> {
                    throw broken(message, String.format(Locale.ROOT, "%s %.0f ms after it may have run, out of its "
                            + "window", what, now - first.sentAt));
                });
    }

    /** An attempt, which is among those of the message, is being written to its endpoint. */
    void written(SimMessage message, int number, HollowEndpoint endpoint) {
        double now = world.now();
        if (message.ended) {
            throw broken(message, "written after its end");
        }
        keepWindow(message, number, "written");
        Word word = words.get(message.sender.number);
        Optional.ofNullable(word.waits.get(endpoint.partner.id)).filter(w -> now > w.toldAt && now < w.until)
                .ifPresent(w -> {
                    throw broken(message, String.format(Locale.ROOT, "written to destination %d by sender %d, %.1f ms "
                            + "before a told wait ends", endpoint.partner.id, message.sender.number, w.until - now));
                });
        Optional.ofNullable(word.drains.get(endpoint.id)).ifPresent(told -> afterWord(message, endpoint, now - told));
        Optional.ofNullable(drainPublished.get(endpoint.id)).ifPresent(at -> {
            counts.callsAfterPublished++;
            counts.afterPublishedMs = Math.max(counts.afterPublishedMs, now - at);
        });
    }

    private void afterWord(SimMessage message, HollowEndpoint endpoint, double ms) {
        counts.callsAfterWord++;
        counts.afterWordMs = Math.max(counts.afterWordMs, ms);
        if (ms > DRAIN_GRACE_MS + SLACK_MS) {
            throw broken(message, String.format(Locale.ROOT, "written to endpoint %d by sender %d %.0f ms after word "
                    + "that it drains or is gone", endpoint.id, message.sender.number, ms));
        }
    }

    /** Discovery has a change. */
    void published(Relay.Endpoint entry) {
        mark(drainPublished, entry);
    }

    /** A sender has been told an entry of the list. */
    void listed(HollowSender sender, Relay.Endpoint entry) {
        mark(words.get(sender.number).drains, entry);
    }

    /** The time of the first word counts; one that serves again is free. */
    private void mark(Map<Long, Double> since, Relay.Endpoint entry) {
        if (entry.removed() || !entry.serving()) {
            since.putIfAbsent(entry.id(), world.now());
        } else {
            since.remove(entry.id());
        }
    }

    /** An answer with a wait has reached a sender. */
    void waitTold(HollowSender sender, Partner partner, double waitMs) {
        double now = world.now();
        words.get(sender.number).waits.merge(partner.id, new Wait(now, now + waitMs),
                (a, b) -> a.until >= b.until ? a : b);
    }

    void delivered(SimMessage message) {
        end(message);
    }

    void refused(SimMessage message) {
        end(message);
        boolean unsafe = type(message).effect() == Relay.Effect.UNSAFE;
        if (unsafe && message.attempts.stream().anyMatch(SimMessage.Attempt::mayHaveRun)) {
            throw broken(message, "refused, though it must not run twice and may have run");
        }
    }

    void failed(SimMessage message) {
        end(message);
    }

    private void end(SimMessage message) {
        if (message.ended) {
            throw broken(message, "a second final answer");
        }
        message.ended = true;
        open.remove(message.id);
    }

    /** Messages that have no end yet. */
    int open() {
        return open.size();
    }

    private Relay.MessageClass type(SimMessage message) {
        return settings.classes().get(message.asked.messageClass);
    }

    private Broken broken(SimMessage message, String what) {
        return new Broken(world.now(), "message " + message.id + ": " + what);
    }
}
