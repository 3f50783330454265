package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import kestreldeal.Relay.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Checks the cost of a turn and of a change of the list, in operations that the scheduler counts, not in time: with a
 * hundred times as many waiting messages, listed endpoints or both, the cost may be at most three times as high.
 */
class DeliverySchedulerCostTest {
    private static final int FEW = 1000;
    private static final int MANY = 100_000;
    private static final int SLOTS = 50;

    @Test
    void aTurnInWhichNothingCanGoCostsTheSameHoweverMuchWaits() {
        long few = idleTurn(new Scale(100, 200, FEW));
        long many = idleTurn(new Scale(100, 200, MANY));
        assertTrue(few > 0 && many <= 3 * few, few + " and " + many);
    }

    @Test
    void aTurnInWhichNothingCanGoCostsTheSameHoweverManyDestinationsWait() {
        long few = idleTurn(new Scale(FEW, FEW, FEW));
        long many = idleTurn(new Scale(MANY, MANY, MANY));
        assertTrue(few > 0 && many <= 3 * few, few + " and " + many);
    }

    @Test
    void aTurnWhileAllGatesAreClosedCostsTheSameHoweverMuchWaits() {
        long few = idleTurn(new Scale(FEW, FEW, FEW).waits());
        long many = idleTurn(new Scale(MANY, MANY, MANY).waits());
        assertTrue(many <= 3 * Math.max(1, few), few + " and " + many);
    }

    @Test
    void aChangeOfOneEntryCostsTheSameHoweverMuchIsListedAndWaits() {
        for (int waiting : new int[] {0, 1}) {
            long few = change(new Scale(FEW, FEW, waiting * FEW));
            long many = change(new Scale(MANY, MANY, waiting * MANY));
            assertTrue(many <= 3 * Math.max(1, few), waiting + " messages waiting for each endpoint: " + few + " and " + many);
        }
    }

    @Test
    void aChangeWhileManyAreAboutToBeForgottenCostsTheSame() {
        long few = change(new Scale(FEW, FEW, 0).leave());
        long many = change(new Scale(MANY, MANY, 0).leave());
        assertTrue(few > 0 && many <= 3 * few, few + " and " + many);
    }

    @Test
    void aTurnCostsByHowManyGo() {
        long few = sends(new Scale(100, 200, FEW), 20);
        long many = sends(new Scale(100, 200, MANY), 20);
        assertTrue(many <= 3 * few, few + " and " + many);
        long spread = sends(new Scale(MANY, MANY, MANY), 20);
        assertTrue(spread <= 3 * few, few + " and " + spread + " with as many destinations");
    }

    private static long idleTurn(Scale s) {
        s.turn();
        long before = s.logic.waiting.operations();
        int sent = s.sent.size();
        for (int i = 0; i < 10; i++) {
            s.now += 1;
            s.turn();
        }
        assertEquals(sent, s.sent.size(), "nothing may be sent");
        return s.logic.waiting.operations() - before;
    }

    private static long change(Scale s) {
        s.turn();
        long before = s.logic.waiting.operations();
        for (int i = 0; i < 10; i++) {
            s.now += 1;
            s.logic.endpointsChanged(s.now, false, List.of(s.entry(i, i % 2 == 0)));
            s.turn();
        }
        return s.logic.waiting.operations() - before;
    }

    private static long sends(Scale s, int k) {
        s.turn();
        assertEquals(SLOTS, s.sent.size());
        s.now += 1;
        for (int i = 0; i < k; i++) {
            s.logic.attemptCompleted(s.now, new Relay.AttemptResult(s.sent.get(i), 0, Outcome.DELIVERED, 1, true, 0));
        }
        long before = s.logic.waiting.operations();
        s.turn();
        assertEquals(SLOTS + k, s.sent.size(), "one message is sent for each freed slot");
        return s.logic.waiting.operations() - before;
    }

    /** A scheduler with the given numbers of destinations, listed endpoints and waiting messages. */
    private static final class Scale implements Relay.Actions {
        final List<Long> sent = new ArrayList<>();
        final int destinations;
        final DeliveryScheduler logic;
        double now = 1000;

        Scale(int destinations, int endpoints, int waiting) {
            this.destinations = destinations;
            Relay.Settings settings = new Relay.Settings(DeliverySchedulerTest.CLASSES,
                    List.of(new Relay.DestinationKind(false, 1)), false,
                    Relay.Decay.LINEAR, List.of(), 2, SLOTS, 12, true, true, 500, 15_000,
                    new Relay.SlowStart(0.2, 12_000, 2, 1500));
            logic = new DeliveryScheduler(settings, 1, this);
            List<Relay.Endpoint> entries = new ArrayList<>();
            for (int i = 0; i < endpoints; i++) {
                entries.add(entry(i, true));
            }
            logic.endpointsChanged(now, true, entries);
            for (int i = 0; i < waiting; i++) {
                logic.messageAccepted(now, new Relay.Message(i, 0, 0, Optional.empty(), 16_000, i % destinations));
            }
        }

        Relay.Endpoint entry(int number, boolean serving) {
            return new Relay.Endpoint(number, number % destinations, 0, 0, serving, 0);
        }

        /** Each destination has asked for a Retry-After wait. */
        Scale waits() {
            for (int i = 0; i < destinations; i++) {
                logic.retryAfterReceived(now, i, 10_000);
            }
            return this;
        }

        /** All endpoints but one have just been removed from the list. */
        Scale leave() {
            logic.endpointsChanged(now, true, List.of(entry(0, true)));
            return this;
        }

        void turn() {
            logic.endTurn(now);
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            sent.add(message);
        }

        @Override
        public void cancel(long message, int attempt) {
        }

        @Override
        public void closeIdleConnections(long endpoint) {
        }

        @Override
        public void reject(long message, double waitMs) {
        }

        @Override
        public void fail(long message) {
        }

        @Override
        public void wakeAt(double time) {
        }

        @Override
        public void log(String text) {
        }
    }
}
