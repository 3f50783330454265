package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Takes one message from acceptance to delivery through the public interface of {@link Relay}, and checks the first
 * two actions that it requests: to send the message to the only endpoint, and to be called again at a given time.
 */
class ExampleTest {
    private final List<String> actions = new ArrayList<>();

    @Test
    void oneMessageFromArrivalToDelivery() {
        Relay.MessageClass order =
                new Relay.MessageClass(2000, 16_000, 1, 0.5, Relay.Repeat.SAFE, false, 0, false);
        Relay.Settings settings = new Relay.Settings(List.of(order), List.of(new Relay.DestinationKind(false, 1)),
                false, Relay.Decay.LINEAR, List.of(), 1, 10, 6, true, true, 0, 15_000,
                new Relay.SlowStart(0.2, 10_000, 2, 1500));
        Relay relay = Relay.create(settings, 42, new RecordingActions());
        relay.endpointsChanged(0, true, List.of(new Relay.Endpoint(51, 7, 0, 0, true, 0)));
        relay.messageAccepted(0, new Relay.Message(1, 0, 0, Optional.empty(), 16_000, 7));
        relay.endTurn(0);
        relay.attemptCompleted(80, new Relay.AttemptResult(1, 0, Relay.Outcome.DELIVERED, 80, true, 0));
        relay.endTurn(80);
        assertEquals(List.of("send 1 to 51", "wake at 1000.0"), actions.subList(0, 2));
    }

    /** Records the actions, in place of the caller's network client and timers. */
    private final class RecordingActions implements Relay.Actions {
        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            actions.add("send " + message + " to " + endpoint);
        }

        @Override
        public void cancel(long message, int attempt) {
            actions.add("cancel " + message);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            actions.add("close idle connections to " + endpoint);
        }

        @Override
        public void reject(long message, double waitMs) {
            actions.add("refuse " + message);
        }

        @Override
        public void fail(long message) {
            actions.add("fail " + message);
        }

        @Override
        public void wakeAt(double time) {
            actions.add("wake at " + time);
        }

        @Override
        public void log(String text) {
            actions.add(text);
        }
    }
}
