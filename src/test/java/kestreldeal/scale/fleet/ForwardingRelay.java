package kestreldeal.scale.fleet;

import java.util.List;
import kestreldeal.Relay;

/** Forwards all events to the real decision module; tests override methods to change or drop some of them. */
class ForwardingRelay implements Relay {
    private final Relay real;

    ForwardingRelay(Relay real) {
        this.real = real;
    }

    @Override
    public void endpointsChanged(double now, boolean whole, List<Endpoint> entries) {
        real.endpointsChanged(now, whole, entries);
    }

    @Override
    public void messageAccepted(double now, Message message) {
        real.messageAccepted(now, message);
    }

    @Override
    public void messageRestored(double now, Message message, List<EarlierAttempt> attempts) {
        real.messageRestored(now, message, attempts);
    }

    @Override
    public void restoreEndpointHealth(double now, long endpoint, EndpointHealth health) {
        real.restoreEndpointHealth(now, endpoint, health);
    }

    @Override
    public LearnedState learnedState(double now) {
        return real.learnedState(now);
    }

    @Override
    public void restoreLearnedState(double now, LearnedState memory) {
        real.restoreLearnedState(now, memory);
    }

    @Override
    public void shutdownScheduled(double now, double end) {
        real.shutdownScheduled(now, end);
    }

    @Override
    public void attemptCompleted(double now, AttemptResult end) {
        real.attemptCompleted(now, end);
    }

    @Override
    public void retryAfterReceived(double now, long endpoint, double waitMs) {
        real.retryAfterReceived(now, endpoint, waitMs);
    }

    @Override
    public boolean sendAllowed(double now, long endpoint) {
        return real.sendAllowed(now, endpoint);
    }

    @Override
    public void messageCancelled(double now, long message) {
        real.messageCancelled(now, message);
    }

    @Override
    public void wake(double now) {
        real.wake(now);
    }

    @Override
    public EndpointCounts endpointCounts() {
        return real.endpointCounts();
    }

    @Override
    public void endTurn(double now) {
        real.endTurn(now);
    }

    /** Forwards all actions of the module; tests override methods to drop or repeat some of them. */
    static class ForwardingActions implements Actions {
        private final Actions to;

        ForwardingActions(Actions to) {
            this.to = to;
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            to.send(message, endpoint, timeoutMs);
        }

        @Override
        public void cancel(long message, int attempt) {
            to.cancel(message, attempt);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            to.closeIdleConnections(endpoint);
        }

        @Override
        public void reject(long message, double waitMs) {
            to.reject(message, waitMs);
        }

        @Override
        public void fail(long message) {
            to.fail(message);
        }

        @Override
        public void wakeAt(double time) {
            to.wakeAt(time);
        }

        @Override
        public void saveEndpointHealth(long endpoint, EndpointHealth health) {
            to.saveEndpointHealth(endpoint, health);
        }

        @Override
        public void log(String text) {
            to.log(text);
        }
    }
}
