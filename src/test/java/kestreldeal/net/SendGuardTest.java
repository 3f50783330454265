package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import kestreldeal.Relay;
import org.junit.jupiter.api.Test;

class SendGuardTest {
    private static final int MAX_ATTEMPTS = 3;
    private static final long DESTINATION = 7;
    private static final int WINDOW_MS = 2000;
    private static final Relay.Settings SETTINGS = new Relay.Settings(
            List.of(new Relay.MessageClass(1000, 8000, 1, 0, Relay.Repeat.KEYED, false, WINDOW_MS, false),
                    new Relay.MessageClass(1000, 8000, 1, 0, Relay.Repeat.UNSAFE, false, 0, false)),
            List.of(new Relay.DestinationKind(false, 1)), false, Relay.Decay.LINEAR, List.of(), 1, 4, MAX_ATTEMPTS,
            true, true, 0, 15_000, new Relay.SlowStart(0.2, 12_000, 2, 3000));

    private final ManualClock clock = new ManualClock();
    private final SendGuard guard = new SendGuard(SETTINGS, List.of("order", "once"));

    private AcceptedMessage message(String messageClass, int attempts) {
        AcceptedMessage message = AcceptedMessage.withTimeLeft(1, "id", messageClass, "", Optional.of("key"),
                DESTINATION, 8000, new byte[0], clock);
        for (int i = 0; i < attempts; i++) {
            message.attempts.add(AcceptedMessage.Attempt.startedAgo("e", 0, clock));
        }
        return message;
    }

    @Test
    void aMessageGoesToItsOwnDestinationOnly() {
        assertEquals(Optional.empty(), guard.violatedRule(message("order", 0), DESTINATION));
        assertEquals(Optional.of(Invariants.Rule.OWN_DESTINATION), guard.violatedRule(message("order", 0), 8));
    }

    @Test
    void unsafeMessageIsRetriedOnlyIfItNeverRan() {
        AcceptedMessage unsafe = message("once", 1);
        assertEquals(Optional.of(Invariants.Rule.SINGLE_EFFECT), guard.violatedRule(unsafe, DESTINATION));
        unsafe.attempts.get(0).neverRan = true;
        assertEquals(Optional.empty(), guard.violatedRule(unsafe, DESTINATION));
        assertEquals(Optional.empty(), guard.violatedRule(message("order", 1), DESTINATION));
    }

    @Test
    void noMessageHasMoreAttemptsThanTheSettingsAllow() {
        assertEquals(Optional.empty(), guard.violatedRule(message("order", MAX_ATTEMPTS - 1), DESTINATION));
        assertEquals(Optional.of(Invariants.Rule.ATTEMPT_LIMIT),
                guard.violatedRule(message("order", MAX_ATTEMPTS), DESTINATION));
    }

    private Optional<SendGuard.SuppressionReason> suppressionReason(AcceptedMessage message, boolean endpointEligible) {
        return guard.suppressionReason(message, message.attempts.size() - 1, endpointEligible, clock.nanos());
    }

    @Test
    void nothingIsWrittenToAnIneligibleEndpointOrForAFinishedMessage() {
        AcceptedMessage message = message("order", 1);
        assertEquals(Optional.empty(), suppressionReason(message, true));
        assertEquals(Optional.of(SendGuard.SuppressionReason.ENDPOINT_CLOSED), suppressionReason(message, false));
        message.finished = true;
        assertEquals(Optional.of(SendGuard.SuppressionReason.MESSAGE_OVER), suppressionReason(message, true));
    }

    /** Delayed by 150 ms after reading the clock, and by 100 ms on its way, the attempt still arrives in the window. */
    @Test
    void repeatIsWrittenOnlyIfItArrivesInTheDedupWindow() {
        AcceptedMessage message = message("order", 1);
        clock.advance(WINDOW_MS - 250);
        message.attempts.add(AcceptedMessage.Attempt.startedAgo("e", 0, clock));
        assertEquals(Optional.empty(), suppressionReason(message, true));
        clock.advance(1);
        assertEquals(Optional.of(SendGuard.SuppressionReason.WINDOW_PASSED), suppressionReason(message, true));
        message.attempts.get(0).neverRan = true;
        assertEquals(Optional.empty(), suppressionReason(message, true));
    }
}
