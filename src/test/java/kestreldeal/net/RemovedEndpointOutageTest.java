package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Trouble of a destination one of whose endpoints has left the list long ago. */
class RemovedEndpointOutageTest {
    private static final int QUIET_MS = 64_000;
    private static final int SHORT_BUDGET_MS = 1500;
    private static final int LONG_BUDGET_MS = 24_000;

    @TempDir
    private Path folder;
    private final AdjustableClock clock = new AdjustableClock();
    private StubServer endpoint;
    private SenderTestEnvironment environment;
    private StubDiscovery discovery;
    private Sender sender;
    private InetSocketAddress address;

    @BeforeEach
    void createEnvironment() throws Exception {
        endpoint = new StubServer(StubServer.status(200, ""));
        environment = new SenderTestEnvironment(folder, endpoint);
        environment.listInConfig = false;
        discovery = new StubDiscovery(environment);
    }

    private void start() throws Exception {
        sender = environment.createSender(clock);
        address = SenderTestEnvironment.startAndAwaitReady(sender);
        discovery.change(discovery.entry("staying", "SERVING"), discovery.entry("leaving", "SERVING"));
    }

    @AfterEach
    void close() throws Exception {
        sender.kill();
        environment.close();
        endpoint.close();
    }

    private void submit(String id, int budgetMs) {
        assertEquals(202, SenderTestEnvironment.requestStatus(address,
                SenderTestEnvironment.submitRequest(id, "order", 0, "", budgetMs)));
    }

    private boolean wasCalled(String id) {
        return endpoint.requests.stream().anyMatch(r -> id.equals(r.header("X-Call-Id")));
    }

    /** A message was lost, and its destination got no call again, as the sender had dropped the number of an endpoint. */
    @Test
    void messageThatIsRefusedLongAfterARemovalGetsItsEnd() throws Exception {
        start();
        submit("before", LONG_BUDGET_MS);
        StubServer.await("the first call", () -> wasCalled("before"));
        discovery.change(discovery.entry("leaving", "DELETED"));
        clock.advance(QUIET_MS);
        discovery.change();
        endpoint.setScript(StubServer.status(429, "Retry-After: 2.6\r\n"));
        submit("refused", SHORT_BUDGET_MS);
        StubServer.await("the end of the refused message",
                () -> environment.notices.stream().anyMatch(notice -> notice.contains("\"refused\"")));
        endpoint.setScript(StubServer.status(200, ""));
        submit("after", LONG_BUDGET_MS);
        StubServer.await("a call after the wait", () -> wasCalled("after"));
    }

    /** The endpoint got another number when it was listed again, and was called in spite of the wait it had told. */
    @Test
    void endpointListedAgainAfterAMinuteIsNotCalledInItsWait() throws Exception {
        environment.separateRoutes = true;
        start();
        discovery.change(discovery.entry("staying", "DELETED"));
        endpoint.setScript(StubServer.status(429, "Retry-After: 120\r\n"));
        submit("refused", SHORT_BUDGET_MS);
        StubServer.await("the first call", () -> wasCalled("refused"));
        discovery.change(discovery.entry("leaving", "DELETED"));
        clock.advance(QUIET_MS);
        discovery.change();
        discovery.change(discovery.entry("leaving", "SERVING"));
        submit("in the wait", SHORT_BUDGET_MS);
        StubServer.await("the end of the message", () -> environment.notices.stream()
                .anyMatch(notice -> notice.contains("\"in the wait\"")));
        assertFalse(wasCalled("in the wait"));
    }
}
