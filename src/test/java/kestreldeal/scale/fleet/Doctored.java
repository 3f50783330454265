package kestreldeal.scale.fleet;

import java.util.List;
import kestreldeal.Relay;

/** The real module with something told to it wrongly; tests say what. */
class Doctored implements Relay {
    private final Relay real;

    Doctored(Relay real) {
        this.real = real;
    }

    @Override
    public void endpoints(double now, boolean whole, List<Endpoint> entries) {
        real.endpoints(now, whole, entries);
    }

    @Override
    public void message(double now, Message message) {
        real.message(now, message);
    }

    @Override
    public void resumed(double now, Message message, List<EarlierAttempt> attempts) {
        real.resumed(now, message, attempts);
    }

    @Override
    public void recalled(double now, long endpoint, Health health) {
        real.recalled(now, endpoint, health);
    }

    @Override
    public Memory memory(double now) {
        return real.memory(now);
    }

    @Override
    public void recalled(double now, Memory memory) {
        real.recalled(now, memory);
    }

    @Override
    public void closing(double now, double end) {
        real.closing(now, end);
    }

    @Override
    public void attemptEnded(double now, AttemptEnd end) {
        real.attemptEnded(now, end);
    }

    @Override
    public void waitTold(double now, long endpoint, double waitMs) {
        real.waitTold(now, endpoint, waitMs);
    }

    @Override
    public boolean mayStillGo(double now, long endpoint) {
        return real.mayStillGo(now, endpoint);
    }

    @Override
    public void withdrawn(double now, long message) {
        real.withdrawn(now, message);
    }

    @Override
    public void wake(double now) {
        real.wake(now);
    }

    @Override
    public Standing standing() {
        return real.standing();
    }

    @Override
    public void endTurn(double now) {
        real.endTurn(now);
    }

    /** What the module asks for, passed on; tests leave out or double some of it. */
    static class Passing implements Actions {
        private final Actions to;

        Passing(Actions to) {
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
        public void closeIdle(long endpoint) {
            to.closeIdle(endpoint);
        }

        @Override
        public void refuse(long message, double waitMs) {
            to.refuse(message, waitMs);
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
        public void remember(long endpoint, Health health) {
            to.remember(endpoint, health);
        }

        @Override
        public void log(String text) {
            to.log(text);
        }
    }
}
