package kestreldeal;

import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Closes idle connections that may have been dropped without notice. Once calls of two destinations were
 * lost on idle ones, any idle for over {@link #REUSE_IDLE_SHARE} of the shortest of these idle times is
 * closed before use, until a call on a connection that was idle for at least that time is delivered. Times
 * are in milliseconds.
 */
final class IdleConnectionReuse {
    /** A connection that was not used for this long counts as idle. */
    private static final double MIN_IDLE_MS = 100;
    /** Losses on idle connections limit reuse to this share of their idle time, for up to the retention. */
    private static final double REUSE_IDLE_SHARE = 0.25;
    private static final double IDLE_LOSS_RETENTION_MS = 30_000;

    private final double keepAliveMs;
    private final LongConsumer closeIdleConnections;
    /** Of the calls lost on idle connections, the one whose connection was idle for the shortest time. */
    private Optional<Use> loss = Optional.empty();
    private double lastLossAt = Double.NEGATIVE_INFINITY;
    private boolean lossConfirmed;

    /** The use of a connection by a call to a destination. */
    static final class Use {
        private final long destination;
        /** How long it was idle before; 0 if it was in use, or new. */
        private final double idleMs;

        private Use(long destination, double idleMs) {
            this.destination = destination;
            this.idleMs = idleMs;
        }
    }

    IdleConnectionReuse(double keepAliveMs, LongConsumer closeIdleConnections) {
        this.keepAliveMs = keepAliveMs;
        this.closeIdleConnections = closeIdleConnections;
    }

    /** A call begins at an endpoint that was not called for this time; closes connections idle too long. */
    Use begin(long endpoint, long destination, double unusedMs, double nowMs) {
        return new Use(destination, usableIdleMs(endpoint, unusedMs, nowMs));
    }

    private double usableIdleMs(long endpoint, double unusedMs, double nowMs) {
        if (nowMs > lastLossAt + IDLE_LOSS_RETENTION_MS) {
            loss = Optional.empty();
            lossConfirmed = false;
        }
        if (unusedMs < MIN_IDLE_MS || unusedMs >= keepAliveMs) {
            return 0;
        }
        if (lossConfirmed && loss.filter(l -> unusedMs > l.idleMs * REUSE_IDLE_SHARE).isPresent()) {
            closeIdleConnections.accept(endpoint);
            return 0;
        }
        return unusedMs;
    }

    void connectionLost(Use use, double nowMs) {
        if (use.idleMs > 0) {
            lossConfirmed |= loss.filter(l -> l.destination != use.destination).isPresent();
            loss = loss.filter(l -> l.idleMs < use.idleMs).or(() -> Optional.of(use));
            lastLossAt = nowMs;
        }
    }

    /** A call was delivered; {@code overdue} tells whether its connection had counted as lost before. */
    void connectionWorked(Use use, boolean overdue) {
        loss = loss.filter(l -> l != use && (overdue || use.idleMs < l.idleMs));
        lossConfirmed &= loss.isPresent();
    }
}
