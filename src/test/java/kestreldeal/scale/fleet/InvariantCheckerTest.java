package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
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

    private static Counts plays(Scenario scenario) {
        return new FleetSimulation(settings(scenario)).run((now, events) -> { });
    }

    private static void breaks(Scenario scenario, FleetSimulation.RelayFactory doctored, String how) {
        FleetSimulation fleet = new FleetSimulation(settings(scenario), doctored);
        InvariantViolationException broken = assertThrows(InvariantViolationException.class, () -> fleet.run((now, events) -> { }));
        assertTrue(broken.getMessage().matches("invariant violated at [0-9.]+ s: message [0-9]+: .*" + how + ".*"),
                broken.getMessage());
    }

    @Test
    void holdsWithTheModuleAsItIs() {
        assertTrue(plays(Scenario.RETURN).restarts > 0);
        assertTrue(plays(Scenario.STEADY).changes > 0);
    }

    @Test
    void aMessageWithoutAnAnswerIsFound() {
        breaks(Scenario.RETURN, (s, seed, actions) -> Relay.create(s, seed, new ForwardingRelay.ForwardingActions(actions) {
            @Override
            public void reject(long message, double waitMs) {
                // Dropped, so that the message never gets a final result.
            }
        }), "no final result [0-9]+ ms after its deadline");
    }

    @Test
    void anAnswerTooLateIsFound() {
        breaks(Scenario.RETURN, (s, seed, actions) -> new ForwardingRelay(Relay.create(s, seed, actions)) {
            @Override
            public void messageAccepted(double now, Message m) {
                super.messageAccepted(now,
                        new Message(m.id(), m.messageClass(), m.tenant(), m.key(), m.timeLeftMs() + 60,
                        m.destination()));
            }

            @Override
            public void messageRestored(double now, Message m, List<EarlierAttempt> attempts) {
                super.messageRestored(now,
                        new Message(m.id(), m.messageClass(), m.tenant(), m.key(), m.timeLeftMs() + 60,
                        m.destination()), attempts);
            }
        }, "no final result 20 ms after its deadline");
    }

    @Test
    void aSecondAnswerIsFound() {
        breaks(Scenario.RETURN, (s, seed, actions) -> Relay.create(s, seed, new ForwardingRelay.ForwardingActions(actions) {
            @Override
            public void reject(long message, double waitMs) {
                super.reject(message, waitMs);
                super.fail(message);
            }
        }), "failed by sender [0-9]+, which does not have it");
    }

    /** Reports outcomes after which a message of one class may have run as outcomes after which it can't have. */
    private static final class PossibleRunHidingRelay extends ForwardingRelay {
        private final int messageClass;
        private final Set<Long> ofClass = new HashSet<>();

        PossibleRunHidingRelay(Relay real, int messageClass) {
            super(real);
            this.messageClass = messageClass;
        }

        @Override
        public void messageAccepted(double now, Message message) {
            if (message.messageClass() == messageClass) {
                ofClass.add(message.id());
            }
            super.messageAccepted(now, message);
        }

        @Override
        public void attemptCompleted(double now, AttemptResult e) {
            boolean lie = ofClass.contains(e.message()) && e.outcome().mayHaveRun() && !e.messageFinished();
            super.attemptCompleted(now, lie
                    ? new AttemptResult(e.message(), e.attempt(), Outcome.UNREACHABLE, e.durationMs(),
                    false, 0, e.report()) : e);
        }
    }

    @Test
    void aSecondRunOfWhatMustNotRunTwiceIsFound() {
        breaks(Scenario.RETURN, (s, seed, actions) -> new PossibleRunHidingRelay(Relay.create(s, seed, actions), FleetModel.UNSAFE),
                "must not run twice and may have run");
    }

    @Test
    void aRepeatOutOfItsWindowIsFound() {
        breaks(Scenario.RETURN, (s, seed, actions) -> new PossibleRunHidingRelay(Relay.create(s, seed, actions), FleetModel.KEYED),
                "sent [0-9]+ ms after it may have run, outside its window");
    }

    @Test
    void aSendAfterWordOfADrainIsFound() {
        breaks(Scenario.STEADY, (s, seed, actions) -> new ForwardingRelay(Relay.create(s, seed, actions)) {
            @Override
            public void endpointsChanged(double now, boolean whole, List<Endpoint> entries) {
                super.endpointsChanged(now, whole, entries.stream().filter(Endpoint::serving).toList());
            }
        }, "after the notification that it drains or is removed");
    }

    @Test
    void aSendWithinAToldWaitIsFound() {
        breaks(Scenario.RETURN, (s, seed, actions) -> new ForwardingRelay(Relay.create(s, seed, actions)) {
            @Override
            public void attemptCompleted(double now, AttemptResult e) {
                super.attemptCompleted(now, new AttemptResult(e.message(), e.attempt(), e.outcome(), e.durationMs(),
                        e.messageFinished(), 0, e.report()));
            }
        }, "before a Retry-After wait ends");
    }

    /** Each sender assumes that it is the only one, and that the load budget of a recovery is far higher than it is. */
    @Test
    void tooManyCallsInAColdReturnAreSeenAndPushOver() {
        FleetSimulation.RelayFactory alone = (s, seed, actions) -> Relay.create(new Relay.Settings(s.classes(), s.kinds(),
                s.ratesListed(), s.valueDecay(), s.zoneFees(), 1, s.slots(), s.maxAttempts(), s.hedging(),
                s.cancellation(),
                s.keyCoolDownMs(), s.keepAliveMs(), new Relay.SlowStart(1, 12_000, 50, 3000)), seed, actions);
        FleetSettings stands = new FleetSettings(60, 12, 8, 30, 5, Scenario.RETURN, false, FleetModel.STANDARD);
        FleetSettings falls = new FleetSettings(60, 12, 8, 30, 5, Scenario.RETURN, true, FleetModel.STANDARD);
        Counts seen = new FleetSimulation(stands, alone).run((now, events) -> { });
        assertTrue(seen.overBudget() > 0 && seen.worstWindow().ratio() > 1, seen.figures().toString());
        assertEquals(0, seen.falls);
        assertTrue(new FleetSimulation(falls, alone).run((now, events) -> { }).falls > 0);
    }
}
