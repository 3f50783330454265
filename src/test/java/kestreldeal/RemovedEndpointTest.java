package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kestreldeal.Relay.Outcome;
import org.junit.jupiter.api.Test;

/**
 * How long the decision module keeps an endpoint that has left the list. It owns the lifetime of endpoints: whatever the
 * sender keeps for one, it may drop only when the module has forgotten it.
 */
class RemovedEndpointTest {
    private static final double RETENTION_MS = 30_000;
    private static final int SAFE = 0;
    private static final int SEPARATE_ROUTES = 2;
    private static final long STAYING = 1;
    private static final long LEAVING = 2;

    private final SchedulerHarness harness = new SchedulerHarness();

    private void listBoth(int kind) {
        harness.putEndpoint(STAYING, 7, kind, 0, true).putEndpoint(LEAVING, 7, kind, 0, true);
    }

    private void completeListAfter(double ms) {
        harness.runUntil(harness.now + ms);
        harness.completeList();
    }

    /** A list without changes forgot no endpoint, and the module named one that its sender had dropped. */
    @Test
    void listWithoutEntriesForgetsAnEndpointRemovedLongAgo() {
        listBoth(0);
        harness.removeEndpoint(LEAVING, 7);
        completeListAfter(RETENTION_MS);
        assertEquals(List.of(), harness.forgottenEndpoints);
        harness.removeEndpoint(LEAVING, 7);
        completeListAfter(5);
        assertEquals(List.of(LEAVING), harness.forgottenEndpoints, "told again of its removal, it is not kept longer");
        completeListAfter(RETENTION_MS);
        assertEquals(List.of(LEAVING), harness.forgottenEndpoints);
    }

    @Test
    void forgottenEndpointIsNamedByNoAction() {
        listBoth(0);
        harness.removeEndpoint(LEAVING, 7);
        completeListAfter(RETENTION_MS + 5);
        harness.submit(1, SAFE, 7);
        harness.complete(1, 0, Outcome.FULL, 3000);
        assertEquals(Relay.EndpointState.DOWN, harness.health.get(STAYING).state());
        assertFalse(harness.health.containsKey(LEAVING));
        assertEquals(1, harness.relay.learnedState(harness.now).endpoints().size());
    }

    /** Until then an outage of its destination is an outage of the removed endpoint, as it may be listed again. */
    @Test
    void removedEndpointTakesPartInAnOutage() {
        listBoth(0);
        harness.removeEndpoint(LEAVING, 7);
        harness.submit(1, SAFE, 7);
        harness.complete(1, 0, Outcome.FULL, 3000);
        assertEquals(Relay.EndpointState.DOWN, harness.health.get(LEAVING).state());
        completeListAfter(RETENTION_MS + 5);
        assertFalse(harness.health.containsKey(LEAVING));
    }

    /** A late answer may still name the endpoint of a call that has ended. */
    @Test
    void endpointIsKeptWhileACallRunsAndAWhileAfterIt() {
        harness.putEndpoint(LEAVING, 7, 0, 0, true);
        harness.submit(1, SAFE, 7);
        harness.removeEndpoint(LEAVING, 7);
        completeListAfter(RETENTION_MS + 5);
        assertEquals(List.of(), harness.forgottenEndpoints);
        harness.complete(1, 0, Outcome.TIMED_OUT);
        completeListAfter(RETENTION_MS);
        assertEquals(List.of(), harness.forgottenEndpoints);
        completeListAfter(5);
        assertEquals(List.of(LEAVING), harness.forgottenEndpoints);
    }

    /** A wait was lost if the endpoint came back after a minute, as it got another number then. */
    @Test
    void endpointIsKeptWhileItsWaitRunsAndHasItWhenListedAgain() {
        listBoth(SEPARATE_ROUTES);
        harness.relay.retryAfterReceived(harness.now, LEAVING, 3 * RETENTION_MS);
        harness.removeEndpoint(LEAVING, 7);
        completeListAfter(2 * RETENTION_MS);
        assertEquals(List.of(), harness.forgottenEndpoints);
        harness.putEndpoint(LEAVING, 7, SEPARATE_ROUTES, 0, true);
        assertFalse(harness.relay.sendAllowed(harness.now, LEAVING));
        harness.runUntil(harness.now + RETENTION_MS + 5);
        assertTrue(harness.relay.sendAllowed(harness.now, LEAVING));
        harness.removeEndpoint(LEAVING, 7);
        completeListAfter(RETENTION_MS + 5);
        assertEquals(List.of(LEAVING), harness.forgottenEndpoints);
    }

    /** The health that a previous process recorded is kept while discovery is down, however long that takes. */
    @Test
    void restoredHealthIsForgottenOnlyWhenACompletedListDoesNotNameTheEndpoint() {
        for (long endpoint : List.of(STAYING, LEAVING)) {
            harness.relay.restoreEndpointHealth(harness.now, endpoint,
                    new Relay.EndpointHealth(Relay.EndpointState.DOWN, harness.now, 0.01));
        }
        harness.runUntil(2 * RETENTION_MS);
        harness.relay.endpointsChanged(harness.now, true, List.of(new Relay.Endpoint(STAYING, 7, 0, 0, true, 0)));
        assertEquals(List.of(), harness.forgottenEndpoints, "the other one may be in the rest of the list");
        harness.completeList();
        assertEquals(List.of(LEAVING), harness.forgottenEndpoints);
        assertEquals(1, harness.relay.endpointCounts().unavailable());
        harness.putEndpoint(LEAVING, 7, 0, 0, true);
        assertEquals(1, harness.relay.endpointCounts().unavailable(), "forgotten health was restored");
    }

    @Test
    void restoredWaitKeepsAnUnlistedEndpoint() {
        harness.relay.restoreLearnedState(harness.now, new Relay.LearnedState(List.of(new Relay.LearnedEndpointState(
                LEAVING, 2 * RETENTION_MS, 1, 0, 0, 0, 0, 0, 0, 100, 20, 0)), List.of(), List.of(), List.of()));
        completeListAfter(2 * RETENTION_MS - 5);
        assertEquals(List.of(), harness.forgottenEndpoints);
        completeListAfter(5);
        assertEquals(List.of(LEAVING), harness.forgottenEndpoints);
    }
}
