package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import kestreldeal.ForwardingRelay;
import kestreldeal.Relay;
import org.junit.jupiter.api.Test;

/**
 * Checks that a violation of each invariant ends the run, with a decision module that is made to violate it, and that
 * the same runs pass with the unmodified module.
 */
class InvariantCheckerTest {
    private static FleetSettings settings(Scenario scenario) {
        return new FleetSettings(20, 12, 4, 30, 5, scenario, false, FleetModel.STANDARD);
    }

    private static Counts simulate(Scenario scenario) {
        return new FleetSimulation(settings(scenario)).run((nowMs, eventCount) -> { });
    }

    private static void expectViolation(Scenario scenario, Relay.Factory relayFactory,
            String expectedText) {
        FleetSimulation fleet = new FleetSimulation(settings(scenario), relayFactory);
        InvariantViolationException violation = assertThrows(InvariantViolationException.class,
                () -> fleet.run((nowMs, eventCount) -> { }));
        assertTrue(violation.getMessage().matches("invariant violated at [0-9.]+ s: message [0-9]+: .*" + expectedText
                + ".*"), violation.getMessage());
    }

    @Test
    void theUnmodifiedModulePasses() {
        assertTrue(simulate(Scenario.RETURN).restarts > 0);
        assertTrue(simulate(Scenario.STEADY).listChanges > 0);
    }

    @Test
    void aMessageWithoutAResultIsDetected() {
        expectViolation(Scenario.RETURN, (s, seed, actions) -> Relay.create(s, seed,
                new ForwardingRelay.ForwardingActions(actions) {
            @Override
            public void reject(long message, double retryAfterMs) {
                // Dropped, so that the message never gets a final result.
            }
        }), "no final result [0-9]+ ms after its deadline");
    }

    @Test
    void aLateResultIsDetected() {
        expectViolation(Scenario.RETURN, (s, seed, actions) -> new ForwardingRelay(Relay.create(s, seed, actions)) {
            @Override
            public void messageAccepted(double nowMs, Message m) {
                super.messageAccepted(nowMs,
                        new Message(m.id(), m.messageClass(), m.tenant(), m.key(), m.timeLeftMs() + 60,
                        m.destination()));
            }

            @Override
            public void messageRestored(double nowMs, Message m, List<EarlierAttempt> attempts) {
                super.messageRestored(nowMs,
                        new Message(m.id(), m.messageClass(), m.tenant(), m.key(), m.timeLeftMs() + 60,
                        m.destination()), attempts);
            }
        }, "no final result 20 ms after its deadline");
    }

    @Test
    void aSecondResultIsDetected() {
        expectViolation(Scenario.RETURN, (s, seed, actions) -> Relay.create(s, seed,
                new ForwardingRelay.ForwardingActions(actions) {
            @Override
            public void reject(long message, double retryAfterMs) {
                super.reject(message, retryAfterMs);
                super.fail(message);
            }
        }), "failed by sender [0-9]+, which does not have it");
    }

    /** Reports outcomes after which a message of one class may have run as outcomes after which it can't have. */
    private static final class PossibleRunHidingRelay extends ForwardingRelay {
        private final int messageClass;
        private final Set<Long> messagesOfClass = new HashSet<>();

        PossibleRunHidingRelay(Relay delegate, int messageClass) {
            super(delegate);
            this.messageClass = messageClass;
        }

        @Override
        public void messageAccepted(double nowMs, Message message) {
            if (message.messageClass() == messageClass) {
                messagesOfClass.add(message.id());
            }
            super.messageAccepted(nowMs, message);
        }

        @Override
        public void attemptCompleted(double nowMs, AttemptResult result) {
            boolean hidden = messagesOfClass.contains(result.message()) && result.outcome().mayHaveRun()
                    && !result.messageFinished();
            super.attemptCompleted(nowMs, hidden
                    ? new AttemptResult(result.message(), result.attempt(), Outcome.UNREACHABLE, result.durationMs(),
                    false, 0, result.report()) : result);
        }
    }

    @Test
    void aSecondRunOfAnUnsafeMessageIsDetected() {
        expectViolation(Scenario.RETURN, (s, seed, actions) ->
                new PossibleRunHidingRelay(Relay.create(s, seed, actions), FleetModel.UNSAFE_CLASS),
                "must not run twice and may have run");
    }

    @Test
    void aRepeatOutsideItsWindowIsDetected() {
        expectViolation(Scenario.RETURN, (s, seed, actions) ->
                new PossibleRunHidingRelay(Relay.create(s, seed, actions), FleetModel.KEYED_CLASS),
                "sent [0-9]+ ms after it may have run, outside its window");
    }

    @Test
    void aCallAfterADrainNotificationIsDetected() {
        expectViolation(Scenario.STEADY, (s, seed, actions) -> new ForwardingRelay(Relay.create(s, seed, actions)) {
            @Override
            public void endpointsChanged(double nowMs, boolean fullList, List<Endpoint> entries) {
                super.endpointsChanged(nowMs, fullList, entries.stream().filter(Endpoint::serving).toList());
            }
        }, "after the notification that it drains or is removed");
    }

    @Test
    void aCallWithinARetryAfterWaitIsDetected() {
        expectViolation(Scenario.RETURN, (s, seed, actions) -> new ForwardingRelay(Relay.create(s, seed, actions)) {
            @Override
            public void attemptCompleted(double nowMs, AttemptResult result) {
                super.attemptCompleted(nowMs, new AttemptResult(result.message(), result.attempt(), result.outcome(),
                        result.durationMs(), result.messageFinished(), 0, result.report()));
            }
        }, "before a Retry-After wait ends");
    }

    /** Each sender assumes that it is the only one, and that the load budget of a recovery is far higher than it is. */
    @Test
    void tooManyCallsInARecoveryAreCountedAndCauseACollapse() {
        Relay.Factory overloadingFactory = (settings, seed, actions) ->
                Relay.create(new Relay.Settings(settings.classes(), settings.kinds(), settings.ratesListed(),
                        settings.valueDecay(), settings.zoneFees(), 1, settings.slotCount(), settings.maxAttempts(),
                        settings.hedging(), settings.cancellation(), settings.keyCoolDownMs(), settings.keepAliveMs(),
                        new Relay.SlowStart(1, 12_000, 50, 3000)), seed, actions);
        FleetSettings withoutCollapse = new FleetSettings(60, 12, 8, 30, 5, Scenario.RETURN, false,
                FleetModel.STANDARD);
        FleetSettings withCollapse = new FleetSettings(60, 12, 8, 30, 5, Scenario.RETURN, true, FleetModel.STANDARD);
        Counts counts = new FleetSimulation(withoutCollapse, overloadingFactory).run((nowMs, eventCount) -> { });
        assertTrue(counts.recoveriesOverBudget() > 0 && counts.worstWindow().ratio() > 1, counts.values().toString());
        assertEquals(0, counts.collapses);
        assertTrue(new FleetSimulation(withCollapse, overloadingFactory).run((nowMs, eventCount) -> { }).collapses > 0);
    }
}
