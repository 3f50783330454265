package kestreldeal;

import java.util.List;

/** Forwards all events to the real decision module; tests override methods to change or drop some of them. */
public class ForwardingRelay implements Relay {
    private final Relay delegate;

    /** Forwards to this instance. */
    public ForwardingRelay(Relay delegate) {
        this.delegate = delegate;
    }

    @Override
    public void endpointsChanged(double nowMs, boolean fullList, List<Endpoint> entries) {
        delegate.endpointsChanged(nowMs, fullList, entries);
    }

    @Override
    public void endpointListCompleted(double nowMs) {
        delegate.endpointListCompleted(nowMs);
    }

    @Override
    public void messageAccepted(double nowMs, Message message) {
        delegate.messageAccepted(nowMs, message);
    }

    @Override
    public void messageRestored(double nowMs, Message message, List<EarlierAttempt> attempts) {
        delegate.messageRestored(nowMs, message, attempts);
    }

    @Override
    public void restoreEndpointHealth(double nowMs, long endpoint, EndpointHealth health) {
        delegate.restoreEndpointHealth(nowMs, endpoint, health);
    }

    @Override
    public LearnedState learnedState(double nowMs) {
        return delegate.learnedState(nowMs);
    }

    @Override
    public void restoreLearnedState(double nowMs, LearnedState state) {
        delegate.restoreLearnedState(nowMs, state);
    }

    @Override
    public void shutdownScheduled(double nowMs, double endMs) {
        delegate.shutdownScheduled(nowMs, endMs);
    }

    @Override
    public void attemptCompleted(double nowMs, AttemptResult result) {
        delegate.attemptCompleted(nowMs, result);
    }

    @Override
    public void retryAfterReceived(double nowMs, long endpoint, double retryAfterMs) {
        delegate.retryAfterReceived(nowMs, endpoint, retryAfterMs);
    }

    @Override
    public boolean sendAllowed(double nowMs, long endpoint) {
        return delegate.sendAllowed(nowMs, endpoint);
    }

    @Override
    public void messageCancelled(double nowMs, long message) {
        delegate.messageCancelled(nowMs, message);
    }

    @Override
    public void wake(double nowMs) {
        delegate.wake(nowMs);
    }

    @Override
    public EndpointCounts endpointCounts() {
        return delegate.endpointCounts();
    }

    @Override
    public void endTurn(double nowMs) {
        delegate.endTurn(nowMs);
    }

    /** Forwards all actions of the module; tests override methods to drop or repeat some of them. */
    public static class ForwardingActions implements Actions {
        private final Actions delegate;

        /** Forwards to these actions. */
        public ForwardingActions(Actions delegate) {
            this.delegate = delegate;
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            delegate.send(message, endpoint, timeoutMs);
        }

        @Override
        public void cancel(long message, int attempt) {
            delegate.cancel(message, attempt);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            delegate.closeIdleConnections(endpoint);
        }

        @Override
        public void reject(long message, double retryAfterMs) {
            delegate.reject(message, retryAfterMs);
        }

        @Override
        public void fail(long message) {
            delegate.fail(message);
        }

        @Override
        public void wakeAt(double timeMs) {
            delegate.wakeAt(timeMs);
        }

        @Override
        public void saveEndpointHealth(long endpoint, EndpointHealth health) {
            delegate.saveEndpointHealth(endpoint, health);
        }

        @Override
        public void endpointForgotten(long endpoint) {
            delegate.endpointForgotten(endpoint);
        }

        @Override
        public void log(String text) {
            delegate.log(text);
        }
    }
}
