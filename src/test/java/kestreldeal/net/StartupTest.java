package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A temporary failure during startup does not end the program: it retries, and is ready once the cause is gone. */
class StartupTest {
    @TempDir
    private Path folder;
    private StubServer endpoint;
    private SenderTestEnvironment environment;
    private Process process;

    private enum FailingPart {
        CLIENTS_ADDRESS, OPERATORS_ADDRESS, FOLDER
    }

    private void open() throws IOException {
        endpoint = new StubServer(StubServer.status(200, ""));
        environment = new SenderTestEnvironment(folder, endpoint);
    }

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        environment.close();
        endpoint.close();
    }

    private static ServerSocket occupiedPort() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private static String hostPort(ServerSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private boolean hasLogged(String text) {
        try {
            return Files.readString(environment.logFile()).contains(text);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void awaitAlive(String what, BooleanSupplier condition) throws Exception {
        StubServer.await(what, () -> !process.isAlive() || condition.getAsBoolean());
        assertTrue(process.isAlive(), "the process ended: " + Files.readString(environment.logFile()));
    }

    @ParameterizedTest
    @EnumSource(FailingPart.class)
    void temporaryFailureIsRetried(FailingPart failing) throws Exception {
        open();
        Path journal = environment.stateFolder().resolve("journal");
        try (ServerSocket clients = occupiedPort(); ServerSocket operators = occupiedPort()) {
            environment.listenAddress = hostPort(clients);
            environment.operatorAddress = hostPort(operators);
            if (failing != FailingPart.CLIENTS_ADDRESS) {
                clients.close();
            }
            if (failing != FailingPart.OPERATORS_ADDRESS) {
                operators.close();
            }
            if (failing == FailingPart.FOLDER) {
                Files.createDirectory(journal);
            }
            process = environment.startProcess(256);
            awaitAlive("a failure is logged", () -> hasLogged("can't "));
        }
        if (failing == FailingPart.FOLDER) {
            Files.delete(journal);
        }
        InetSocketAddress clients = Config.parseAddress(environment.listenAddress);
        awaitAlive("the sender is ready",
                () -> SenderTestEnvironment.requestStatus(clients, SenderTestEnvironment.HEALTH) == 200);
        InetSocketAddress operators = Config.parseAddress(environment.operatorAddress);
        awaitAlive("operators are answered",
                () -> SenderTestEnvironment.askOperator(operators, "readyz").equals("YES\n"));
    }
}
