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
    private static final int SMALL_SIZE = 1000;
    private static final int LARGE_SIZE = 100_000;
    private static final int SLOTS = 50;

    @Test
    void idleTurnCostDoesNotGrowWithWaitingMessages() {
        long small = idleTurnOperations(new LoadedScheduler(100, 200, SMALL_SIZE));
        long large = idleTurnOperations(new LoadedScheduler(100, 200, LARGE_SIZE));
        assertTrue(small > 0 && large <= 3 * small, small + " and " + large);
    }

    @Test
    void idleTurnCostDoesNotGrowWithWaitingDestinations() {
        long small = idleTurnOperations(new LoadedScheduler(SMALL_SIZE, SMALL_SIZE, SMALL_SIZE));
        long large = idleTurnOperations(new LoadedScheduler(LARGE_SIZE, LARGE_SIZE, LARGE_SIZE));
        assertTrue(small > 0 && large <= 3 * small, small + " and " + large);
    }

    @Test
    void idleTurnCostDoesNotGrowWhileAllDestinationsAreBlocked() {
        long small = idleTurnOperations(new LoadedScheduler(SMALL_SIZE, SMALL_SIZE, SMALL_SIZE).withRetryAfterWaits());
        long large = idleTurnOperations(new LoadedScheduler(LARGE_SIZE, LARGE_SIZE, LARGE_SIZE).withRetryAfterWaits());
        assertTrue(large <= 3 * Math.max(1, small), small + " and " + large);
    }

    @Test
    void singleEndpointChangeCostDoesNotGrowWithListOrMessages() {
        for (int waiting : new int[] {0, 1}) {
            long small = listChangeOperations(new LoadedScheduler(SMALL_SIZE, SMALL_SIZE, waiting * SMALL_SIZE));
            long large = listChangeOperations(new LoadedScheduler(LARGE_SIZE, LARGE_SIZE, waiting * LARGE_SIZE));
            assertTrue(large <= 3 * Math.max(1, small), waiting + " messages waiting for each endpoint: " + small
                    + " and " + large);
        }
    }

    @Test
    void changeCostDoesNotGrowWithRemovedEndpoints() {
        long small = listChangeOperations(new LoadedScheduler(SMALL_SIZE, SMALL_SIZE, 0).withMostEndpointsRemoved());
        long large = listChangeOperations(new LoadedScheduler(LARGE_SIZE, LARGE_SIZE, 0).withMostEndpointsRemoved());
        assertTrue(small > 0 && large <= 3 * small, small + " and " + large);
    }

    @Test
    void turnCostDependsOnNumberOfSendsOnly() {
        long small = sendingTurnOperations(new LoadedScheduler(100, 200, SMALL_SIZE), 20);
        long large = sendingTurnOperations(new LoadedScheduler(100, 200, LARGE_SIZE), 20);
        assertTrue(large <= 3 * small, small + " and " + large);
        long spread = sendingTurnOperations(new LoadedScheduler(LARGE_SIZE, LARGE_SIZE, LARGE_SIZE), 20);
        assertTrue(spread <= 3 * small, small + " and " + spread + " with as many destinations");
    }

    private static long idleTurnOperations(LoadedScheduler loaded) {
        loaded.endTurn();
        long before = loaded.scheduler.waiting.operations();
        int sent = loaded.sentMessages.size();
        for (int i = 0; i < 10; i++) {
            loaded.now += 1;
            loaded.endTurn();
        }
        assertEquals(sent, loaded.sentMessages.size(), "nothing may be sent");
        return loaded.scheduler.waiting.operations() - before;
    }

    private static long listChangeOperations(LoadedScheduler loaded) {
        loaded.endTurn();
        long before = loaded.scheduler.waiting.operations();
        for (int i = 0; i < 10; i++) {
            loaded.now += 1;
            loaded.scheduler.endpointsChanged(loaded.now, false, List.of(loaded.endpoint(i, i % 2 == 0)));
            loaded.scheduler.endpointListCompleted(loaded.now);
            loaded.endTurn();
        }
        return loaded.scheduler.waiting.operations() - before;
    }

    private static long sendingTurnOperations(LoadedScheduler loaded, int freedSlots) {
        loaded.endTurn();
        assertEquals(SLOTS, loaded.sentMessages.size());
        loaded.now += 1;
        for (int i = 0; i < freedSlots; i++) {
            loaded.scheduler.attemptCompleted(loaded.now,
                    new Relay.AttemptResult(loaded.sentMessages.get(i), 0, Outcome.DELIVERED, 1, true, 0));
        }
        long before = loaded.scheduler.waiting.operations();
        loaded.endTurn();
        assertEquals(SLOTS + freedSlots, loaded.sentMessages.size(), "one message is sent for each freed slot");
        return loaded.scheduler.waiting.operations() - before;
    }

    /** A scheduler with the given numbers of destinations, listed endpoints and waiting messages. */
    private static final class LoadedScheduler implements Relay.Actions {
        final List<Long> sentMessages = new ArrayList<>();
        final int destinationCount;
        final DeliveryScheduler scheduler;
        double now = 1000;

        LoadedScheduler(int destinationCount, int endpointCount, int messageCount) {
            this.destinationCount = destinationCount;
            Relay.Settings settings = new Relay.Settings(DeliverySchedulerTest.CLASSES,
                    List.of(new Relay.DestinationKind(false, 1)), false,
                    Relay.Decay.LINEAR, List.of(), 2, SLOTS, 12, true, true, 500, 15_000,
                    new Relay.SlowStart(0.2, 12_000, 2, 1500));
            scheduler = new DeliveryScheduler(settings, 1, this);
            List<Relay.Endpoint> entries = new ArrayList<>();
            for (int i = 0; i < endpointCount; i++) {
                entries.add(endpoint(i, true));
            }
            scheduler.endpointsChanged(now, true, entries);
            for (int i = 0; i < messageCount; i++) {
                scheduler.messageAccepted(now,
                        new Relay.Message(i, 0, 0, Optional.empty(), 16_000, i % destinationCount));
            }
        }

        Relay.Endpoint endpoint(int id, boolean serving) {
            return new Relay.Endpoint(id, id % destinationCount, 0, 0, serving, 0);
        }

        /** Each destination has asked for a Retry-After wait. */
        LoadedScheduler withRetryAfterWaits() {
            for (int i = 0; i < destinationCount; i++) {
                scheduler.retryAfterReceived(now, i, 10_000);
            }
            return this;
        }

        /** All endpoints but one have just been removed from the list. */
        LoadedScheduler withMostEndpointsRemoved() {
            scheduler.endpointsChanged(now, true, List.of(endpoint(0, true)));
            return this;
        }

        void endTurn() {
            scheduler.endTurn(now);
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            sentMessages.add(message);
        }

        @Override
        public void cancel(long message, int attempt) {
        }

        @Override
        public void closeIdleConnections(long endpoint) {
        }

        @Override
        public void reject(long message, double retryAfterMs) {
        }

        @Override
        public void fail(long message) {
        }

        @Override
        public void wakeAt(double timeMs) {
        }

        @Override
        public void log(String text) {
        }
    }
}
