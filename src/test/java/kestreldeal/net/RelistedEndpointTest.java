package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * An endpoint whose destination changes in the list while its id stays: messages for the old destination must not be
 * sent to it any more.
 */
class RelistedEndpointTest {
    private static final int OTHER_DESTINATION = 5;

    @TempDir
    private Path folder;
    private StubServer endpoint;
    private SenderTestEnvironment environment;
    private Sender sender;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        endpoint = new StubServer(StubServer.status(200, ""));
        environment = new SenderTestEnvironment(folder, endpoint);
        sender = environment.createSender();
        address = SenderTestEnvironment.startAndAwaitReady(sender);
    }

    @AfterEach
    void close() throws Exception {
        sender.kill();
        environment.close();
        endpoint.close();
    }

    private List<String> calledIds() {
        return endpoint.requests.stream().map(r -> r.header("X-Call-Id")).toList();
    }

    private void submit(String id, long destination) {
        assertEquals(202, SenderTestEnvironment.requestStatus(address,
                SenderTestEnvironment.submitRequest(id, "order", destination, "")));
    }

    @Test
    void endpointGetsOnlyMessagesOfItsNewDestination() throws Exception {
        submit("before", 0);
        StubServer.await("the endpoint is called", () -> calledIds().equals(List.of("before")));
        environment.firstDestination = OTHER_DESTINATION;
        StubServer.await("the changed list is read", () -> environment.agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + environment.generation())));
        submit("for nobody", 0);
        submit("for it", OTHER_DESTINATION);
        StubServer.await("the endpoint is called again", () -> calledIds().size() == 2);
        assertEquals(List.of("before", "for it"), calledIds());
    }

    /** The journal records health by id: the new endpoint was taken for down after a restart, as the old one was. */
    @Test
    void healthOfTheOldDestinationIsNotThatOfTheNewOne() throws Exception {
        endpoint.setScript(StubServer.status(429, "Retry-After: 60\r\n"));
        submit("refused", 0);
        StubServer.await("the endpoint is called", () -> calledIds().equals(List.of("refused")));
        StubServer.await("its health is recorded", () -> environment.journalHealth().contains("s-0"));
        environment.firstDestination = OTHER_DESTINATION;
        StubServer.await("the changed list is read", () -> environment.agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + environment.generation())));
        assertEquals(Set.of(), environment.journalHealth());
    }
}
