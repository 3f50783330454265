package kestreldeal.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Finds messages that have no final result although their deadline has passed, whatever the reason: the decision module
 * should have completed them. A message counts as overdue if it is still pending at two checks after the deadline, so
 * that a standstill of the event loop, after which everything is late, finds none.
 */
final class DeadlineWatchdog {
    /** Time after the deadline of the first of the two checks. */
    static final long GRACE_MS = 100;
    /** Shortest time between two checks. */
    static final long MIN_INTERVAL_MS = 50;

    private final EventLoop loop;
    private final MachineClock clock;
    private final Supplier<Collection<AcceptedMessage>> pendingMessages;
    private final Consumer<AcceptedMessage> overdueListener;
    /** The only check that is scheduled, if any, and its time by {@link MachineClock#nanos}. */
    private Optional<Future<?>> nextCheck = Optional.empty();
    private long nextCheckNanos;

    /** The listener has to complete each message that it gets. */
    DeadlineWatchdog(EventLoop loop, MachineClock clock, Supplier<Collection<AcceptedMessage>> pendingMessages,
            Consumer<AcceptedMessage> overdueListener) {
        this.loop = loop;
        this.clock = clock;
        this.pendingMessages = pendingMessages;
        this.overdueListener = overdueListener;
    }

    /** A message has been accepted or restored, or its 202 response has been written. */
    void messageAdded(AcceptedMessage message) {
        schedule(message.completionDeadlineNanos + TimeUnit.MILLISECONDS.toNanos(GRACE_MS));
    }

    private void schedule(long checkNanos) {
        if (nextCheck.isPresent() && nextCheckNanos <= checkNanos) {
            return;
        }
        nextCheck.ifPresent(later -> later.cancel(false));
        long delayNanos = Math.max(checkNanos - clock.nanos(), TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MS));
        nextCheckNanos = checkNanos;
        nextCheck = Optional.of(loop.schedule(this::check, delayNanos, TimeUnit.NANOSECONDS));
    }

    private void check() {
        nextCheck = Optional.empty();
        for (AcceptedMessage message : List.copyOf(pendingMessages.get())) {
            if (message.timeLeftMs(clock) > -GRACE_MS || !message.overdue) {
                message.overdue = message.timeLeftMs(clock) <= -GRACE_MS;
                messageAdded(message);
            } else {
                overdueListener.accept(message);
            }
        }
    }
}
