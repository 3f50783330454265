package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import kestreldeal.Relay;
import org.junit.jupiter.api.Test;

class SendGuardTest {
    private static final int MOST_ATTEMPTS = 3;
    private static final long DESTINATION = 7;
    private static final int WINDOW_MS = 2000;
    private static final Relay.Settings SETTINGS = new Relay.Settings(
            List.of(new Relay.MessageClass(1000, 8000, 1, 0, Relay.Effect.KEYED, false, WINDOW_MS, false),
                    new Relay.MessageClass(1000, 8000, 1, 0, Relay.Effect.UNSAFE, false, 0, false)),
            List.of(new Relay.DestinationKind(false, 1)), false, Relay.Decay.LINEAR, List.of(), 1, 4, MOST_ATTEMPTS,
            true, true, 0, 15_000, new Relay.SlowStart(0.2, 12_000, 2, 3000));

    private final ManualClock clock = new ManualClock();
    private final SendGuard guard = new SendGuard(SETTINGS, List.of("order", "once"));

    private AcceptedMessage held(String type, int attempts) {
        AcceptedMessage held = AcceptedMessage.withTimeLeft(1, "id", type, "", Optional.of("key"), DESTINATION, 8000,
                new byte[0], clock);
        for (int i = 0; i < attempts; i++) {
            held.attempts.add(AcceptedMessage.Attempt.sentAgo("e", 0, clock));
        }
        return held;
    }

    @Test
    void aMessageGoesToItsOwnDestinationOnly() {
        assertEquals(Optional.empty(), guard.violatedRule(held("order", 0), DESTINATION));
        assertEquals(Optional.of(Invariants.Rule.OWN_DESTINATION), guard.violatedRule(held("order", 0), 8));
    }

    @Test
    void whatMustNotRunTwiceIsTriedAgainOnlyIfItNeverRan() {
        AcceptedMessage once = held("once", 1);
        assertEquals(Optional.of(Invariants.Rule.SINGLE_EFFECT), guard.violatedRule(once, DESTINATION));
        once.attempts.get(0).neverRan = true;
        assertEquals(Optional.empty(), guard.violatedRule(once, DESTINATION));
        assertEquals(Optional.empty(), guard.violatedRule(held("order", 1), DESTINATION));
    }

    @Test
    void noMessageHasMoreAttemptsThanTheSettingsAllow() {
        assertEquals(Optional.empty(), guard.violatedRule(held("order", MOST_ATTEMPTS - 1), DESTINATION));
        assertEquals(Optional.of(Invariants.Rule.ATTEMPT_LIMIT),
                guard.violatedRule(held("order", MOST_ATTEMPTS), DESTINATION));
    }

    private Optional<SendGuard.SuppressionReason> heldBack(AcceptedMessage held, boolean open) {
        return guard.suppressionReason(held, held.attempts.size() - 1, open, clock.nanos());
    }

    @Test
    void nothingIsWrittenToAnEndpointThatIsClosedOrForAMessageThatIsOver() {
        AcceptedMessage held = held("order", 1);
        assertEquals(Optional.empty(), heldBack(held, true));
        assertEquals(Optional.of(SendGuard.SuppressionReason.ENDPOINT_CLOSED), heldBack(held, false));
        held.finished = true;
        assertEquals(Optional.of(SendGuard.SuppressionReason.MESSAGE_OVER), heldBack(held, true));
    }

    /** Delayed by 150 ms after reading the clock, and by 100 ms on its way, the attempt still arrives in the window. */
    @Test
    void aRepeatIsWrittenOnlyWhereItStillArrivesInItsWindow() {
        AcceptedMessage held = held("order", 1);
        clock.advance(WINDOW_MS - 250);
        held.attempts.add(AcceptedMessage.Attempt.sentAgo("e", 0, clock));
        assertEquals(Optional.empty(), heldBack(held, true));
        clock.advance(1);
        assertEquals(Optional.of(SendGuard.SuppressionReason.WINDOW_PASSED), heldBack(held, true));
        held.attempts.get(0).neverRan = true;
        assertEquals(Optional.empty(), heldBack(held, true));
    }
}
