package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import kestreldeal.ForwardingRelay;
import kestreldeal.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An exception of the decision module must leave no message without its end, nor hold up the others. */
class ModuleFaultTest {
    private static final int SHORT_BUDGET_MS = 1000;

    @TempDir
    private Path folder;
    private StubServer endpoint;
    private SenderTestEnvironment environment;
    private Sender sender;
    private InetSocketAddress address;

    @BeforeEach
    void createEnvironment() throws Exception {
        endpoint = new StubServer(StubServer.status(200, ""));
        environment = new SenderTestEnvironment(folder, endpoint);
        environment.operatorAddress = "127.0.0.1:0";
    }

    @AfterEach
    void close() throws Exception {
        sender.kill();
        environment.close();
        endpoint.close();
    }

    private void start(Relay.Factory module) throws Exception {
        sender = environment.createSender(module);
        address = SenderTestEnvironment.startAndAwaitReady(sender);
    }

    private void submit(String id, String messageClass) {
        assertEquals(202, SenderTestEnvironment.requestStatus(address,
                SenderTestEnvironment.submitRequest(id, messageClass, 0, "", SHORT_BUDGET_MS)));
    }

    private boolean wasCalled(String id) {
        return endpoint.requests.stream().anyMatch(r -> id.equals(r.header("X-Call-Id")));
    }

    private void awaitNotice(String id, String result) throws InterruptedException {
        StubServer.await("the notice of " + id, () -> environment.notices.stream()
                .anyMatch(notice -> notice.contains("\"" + id + "\"") && notice.contains("\"" + result + "\"")));
    }

    private String metrics() {
        return SenderTestEnvironment.askOperator(sender.operatorAddress(), "telemetry");
    }

    @Test
    void messageWhoseAcceptanceThrowsIsRejectedAtItsDeadline() throws Exception {
        start((settings, seed, actions) -> new ForwardingRelay(Relay.create(settings, seed, actions)) {
            private boolean thrown;

            @Override
            public void messageAccepted(double nowMs, Message message) {
                if (!thrown) {
                    thrown = true;
                    throw new IllegalStateException("injected");
                }
                super.messageAccepted(nowMs, message);
            }
        });
        submit("lost", "once");
        submit("other", "once");
        StubServer.await("the call of the other message", () -> wasCalled("other"));
        awaitNotice("lost", "bounced");
        assertFalse(wasCalled("lost"));
        assertTrue(metrics().contains("invariant_breaches_total{reason=\"no_module_fault\"} 1\n"), metrics());
    }

    @Test
    void messageWhoseResultThrowsFailsAtItsDeadlineIfItMayHaveRun() throws Exception {
        start((settings, seed, actions) -> new ForwardingRelay(Relay.create(settings, seed, actions)) {
            @Override
            public void attemptCompleted(double nowMs, AttemptResult result) {
                if (result.outcome() == Outcome.ERROR) {
                    throw new IllegalStateException("injected");
                }
                super.attemptCompleted(nowMs, result);
            }
        });
        endpoint.setScript(StubServer.status(500, ""));
        submit("error", "once");
        StubServer.await("the call", () -> wasCalled("error"));
        awaitNotice("error", "dead");
    }

    /** The messages behind the one that throws were neither tried nor ended by the new process. */
    @Test
    void messageThatCannotBeRestoredDoesNotKeepTheOthersFromIt() throws Exception {
        try (Journal journal = environment.openJournal()) {
            for (String id : List.of("first", "second")) {
                journal.recordAccepted(AcceptedMessage.withTimeLeft(journal.assignNumber(), id, "once", "",
                        Optional.empty(), 0, SHORT_BUDGET_MS, new byte[0], MachineClock.system()));
            }
        }
        start((settings, seed, actions) -> new ForwardingRelay(Relay.create(settings, seed, actions)) {
            private boolean thrown;

            @Override
            public void messageRestored(double nowMs, Message message, List<EarlierAttempt> attempts) {
                if (!thrown) {
                    thrown = true;
                    throw new IllegalStateException("injected");
                }
                super.messageRestored(nowMs, message, attempts);
            }
        });
        StubServer.await("the call of the second message", () -> wasCalled("second"));
        awaitNotice("first", "bounced");
    }

    /** No wake-up was requested after an exception at the end of a turn, so that all stood still until another event. */
    @Test
    void anotherTurnFollowsOneThatThrows() throws Exception {
        start((settings, seed, actions) -> new ForwardingRelay(Relay.create(settings, seed, actions)) {
            private boolean pending;

            @Override
            public void messageAccepted(double nowMs, Message message) {
                pending = true;
                super.messageAccepted(nowMs, message);
            }

            @Override
            public void endTurn(double nowMs) {
                if (pending) {
                    pending = false;
                    throw new IllegalStateException("injected");
                }
                super.endTurn(nowMs);
            }
        });
        submit("waiting", "once");
        StubServer.await("the call", () -> wasCalled("waiting"));
        assertEquals(List.of(), environment.notices);
    }
}
