package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import kestreldeal.Relay;

/**
 * Checks the invariants of every message and call, from what the simulated environment observes and independently of
 * the decision module: one final result in time, no second run of a message that must not run twice, repeats only
 * within their deduplication window, no calls to a draining endpoint, Retry-After waits observed. Throws {@link InvariantViolationException}
 * at a violation, which ends the run.
 */
final class InvariantChecker {
    /** A final result may come this long after the deadline of its message. */
    private static final double GRACE_MS = 20;
    /** A restarted sender has this long to complete messages whose deadline has passed. */
    private static final double READY_GRACE_MS = 1500;
    /** Calls may be written this long after the sender was notified that the endpoint drains. */
    private static final double DRAIN_GRACE_MS = 1000;
    /** Tolerance that is added to the drain limit. */
    private static final double SLACK_MS = 50;

    private final SimulationClock world;
    private final Relay.Settings settings;
    private final Counts counts;
    private final List<Notifications> words = new ArrayList<>();
    private final Map<Long, Double> drainPublished = new HashMap<>();
    private final Map<Long, SimulatedMessage> open = new HashMap<>();

    /** What one sender has been notified of. */
    private static final class Notifications {
        final Map<Integer, Wait> waits = new HashMap<>();
        final Map<Long, Double> drains = new HashMap<>();
    }

    private record Wait(double toldAt, double until) {
    }

    InvariantChecker(SimulationClock world, Relay.Settings settings, int senders, Counts counts) {
        this.world = world;
        this.settings = settings;
        this.counts = counts;
        for (int i = 0; i < senders; i++) {
            words.add(new Notifications());
        }
    }

    /** Records that a sender has accepted a message, which must now get a final result. */
    void taken(SimulatedMessage message) {
        if (open.put(message.id, message) != null) {
            throw broken(message, "accepted twice");
        }
        dueAt(message, message.deadline + GRACE_MS);
    }

    /** Records that a restarted sender has restored a message of its previous process. */
    void resumed(SimulatedMessage message) {
        dueAt(message, Math.max(message.deadline + GRACE_MS, world.now() + READY_GRACE_MS));
    }

    void restarted(SimulatedSender sender) {
        words.get(sender.number).waits.clear();
    }

    private void dueAt(SimulatedMessage message, double time) {
        world.at(time, () -> {
            // The messages of a sender that is down become due after its restart.
            if (message.ended || !message.sender.isAlive()) {
                return;
            }
            if (!message.sender.isReadySince(world.now() - READY_GRACE_MS)) {
                dueAt(message, world.now() + READY_GRACE_MS);
                return;
            }
            throw broken(message, String.format(Locale.ROOT, "no final result %.0f ms after its deadline",
                    world.now() - message.deadline));
        });
    }

    /** Checks an attempt that the module has decided; it is not yet in the message's list of attempts. */
    void sent(SimulatedMessage message, SimulatedEndpoint endpoint) {
        if (message.ended) {
            throw broken(message, "sent after its final result");
        }
        if (endpoint.partner != message.asked.partner) {
            throw broken(message, "sent to another destination's endpoint " + endpoint.id);
        }
        if (message.attempts.size() >= settings.maxAttempts()) {
            throw broken(message, "sent more than " + settings.maxAttempts() + " times");
        }
        boolean unsafe = type(message).effect() == Relay.Effect.UNSAFE;
        if (unsafe && message.attempts.stream().anyMatch(SimulatedMessage.Attempt::mayHaveRun)) {
            throw broken(message, "sent again, though it must not run twice and may have run");
        }
        if (!settings.hedging() && message.out() > 0) {
            throw broken(message, "sent while another attempt is in flight");
        }
        keepWindow(message, message.attempts.size(), "sent");
    }

    /**
     * Checks that an attempt of a keyed message is within the deduplication window, which starts with the first attempt
     * that may have run. Both the decision and the write of an attempt must be in it.
     */
    private void keepWindow(SimulatedMessage message, int attempt, String what) {
        Relay.MessageClass type = type(message);
        if (type.effect() != Relay.Effect.KEYED) {
            return;
        }
        double now = world.now();
        message.attempts.subList(0, attempt).stream().filter(SimulatedMessage.Attempt::mayHaveRun).findFirst()
                .filter(first -> now > first.sentAt + type.dedupWindowMs()).ifPresent(first -> {
                    throw broken(message, String.format(Locale.ROOT, "%s %.0f ms after it may have run, outside its "
                            + "window", what, now - first.sentAt));
                });
    }

    /** Checks an attempt that is written to its endpoint; it is in the message's list of attempts. */
    void written(SimulatedMessage message, int number, SimulatedEndpoint endpoint) {
        double now = world.now();
        if (message.ended) {
            throw broken(message, "written after its final result");
        }
        keepWindow(message, number, "written");
        Notifications word = words.get(message.sender.number);
        Optional.ofNullable(word.waits.get(endpoint.partner.id)).filter(w -> now > w.toldAt && now < w.until)
                .ifPresent(w -> {
                    throw broken(message, String.format(Locale.ROOT, "written to destination %d by sender %d, %.1f ms "
                            + "before a Retry-After wait ends", endpoint.partner.id, message.sender.number,
                            w.until - now));
                });
        Optional.ofNullable(word.drains.get(endpoint.id)).ifPresent(told -> afterWord(message, endpoint, now - told));
        Optional.ofNullable(drainPublished.get(endpoint.id)).ifPresent(at -> {
            counts.callsAfterPublished++;
            counts.afterPublishedMs = Math.max(counts.afterPublishedMs, now - at);
        });
    }

    private void afterWord(SimulatedMessage message, SimulatedEndpoint endpoint, double ms) {
        counts.callsAfterWord++;
        counts.afterWordMs = Math.max(counts.afterWordMs, ms);
        if (ms > DRAIN_GRACE_MS + SLACK_MS) {
            throw broken(message, String.format(Locale.ROOT, "written to endpoint %d by sender %d %.0f ms after the "
                    + "notification that it drains or is removed", endpoint.id, message.sender.number, ms));
        }
    }

    /** Records that discovery has published a change. */
    void published(Relay.Endpoint entry) {
        mark(drainPublished, entry);
    }

    /** Records that a sender has been notified of a list entry. */
    void listed(SimulatedSender sender, Relay.Endpoint entry) {
        mark(words.get(sender.number).drains, entry);
    }

    /** Notes since when an entry is draining or removed, where the first notification counts, or that it serves. */
    private void mark(Map<Long, Double> since, Relay.Endpoint entry) {
        if (entry.removed() || !entry.serving()) {
            since.putIfAbsent(entry.id(), world.now());
        } else {
            since.remove(entry.id());
        }
    }

    /** Records that a response with a Retry-After wait has reached a sender; the longest wait counts. */
    void waitTold(SimulatedSender sender, SimulatedDestination partner, double waitMs) {
        double now = world.now();
        words.get(sender.number).waits.merge(partner.id, new Wait(now, now + waitMs),
                (a, b) -> a.until >= b.until ? a : b);
    }

    void delivered(SimulatedMessage message) {
        end(message);
    }

    void refused(SimulatedMessage message) {
        end(message);
        boolean unsafe = type(message).effect() == Relay.Effect.UNSAFE;
        if (unsafe && message.attempts.stream().anyMatch(SimulatedMessage.Attempt::mayHaveRun)) {
            throw broken(message, "rejected, though it must not run twice and may have run");
        }
    }

    void failed(SimulatedMessage message) {
        end(message);
    }

    private void end(SimulatedMessage message) {
        if (message.ended) {
            throw broken(message, "a second final result");
        }
        message.ended = true;
        open.remove(message.id);
    }

    /** Number of messages without a final result. */
    int open() {
        return open.size();
    }

    private Relay.MessageClass type(SimulatedMessage message) {
        return settings.classes().get(message.asked.messageClass);
    }

    private InvariantViolationException broken(SimulatedMessage message, String what) {
        return new InvariantViolationException(world.now(), "message " + message.id + ": " + what);
    }
}
