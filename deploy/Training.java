import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executors;

/**
 * Exercises the sender whose loaded classes {@code archive.sh} archives (class data sharing): a stub of the agent and
 * of one endpoint, and a client that submits a few messages. Classes that these messages don't use are not in the
 * archive, so each process has to load and link them in its first seconds under load.
 */
public final class Training {
    private static final String SENDER_URL = "http://127.0.0.1:47979/";
    private static final int STUB_PORT = 47980;
    /** Nothing listens at the second endpoint, so that messages to destination 2 fail and lead to notices. */
    private static final String ENDPOINT_LIST = "{\"generation\":2,\"reset\":true,\"instances\":["
            + listEntry("e", STUB_PORT, 1) + "," + listEntry("shut", 1, 2) + "]}";

    private static String listEntry(String id, int port, int destination) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"machineType\":"
                + "\"m\",\"cell\":" + destination + ",\"lifecycle\":\"SERVING\",\"weight\":9.0,\"startedAtMs\":0}";
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getRequestBody().readAllBytes();
        exchange.getResponseHeaders().set("X-Load-Report", "TEXT x0=0.5, x1=20");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Responds with the list: to the first request immediately, to a request for changes after a delay. */
    private static void respondWithList(HttpExchange exchange) throws IOException {
        try {
            Thread.sleep(exchange.getRequestURI().getQuery() == null ? 0 : 300);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        respond(exchange, 200, ENDPOINT_LIST);
    }

    private static HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(SENDER_URL + path)).timeout(Duration.ofSeconds(5));
    }

    public static void main(String[] args) throws Exception {
        HttpServer stubServer = HttpServer.create(new InetSocketAddress("127.0.0.1", STUB_PORT), 0);
        stubServer.setExecutor(Executors.newCachedThreadPool());
        stubServer.createContext("/v1/servers", Training::respondWithList);
        stubServer.createContext("/v1/messages", exchange -> respond(exchange, 200, "{}"));
        stubServer.createContext("/reports", exchange -> respond(exchange, 204, ""));
        stubServer.start();
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest healthCheck = request("healthz").build();
        for (int attempts = 0; attempts < 100; attempts++) {
            try {
                client.send(healthCheck, BodyHandlers.discarding());
                break;
            } catch (IOException notReady) {
                Thread.sleep(100);
            }
        }
        for (int i = 0; i < 20; i++) {
            client.send(request("c").header("X-Call-Id", "id-" + i)
                    .header("X-Call-Class", "c").header("X-Caller", "t").header("X-Budget-Ms", "1500")
                    .header("Idempotency-Key", "key-" + i).header("X-Envelope", "dest=" + (1 + i % 2))
                    .POST(HttpRequest.BodyPublishers.ofString("{}")).build(), BodyHandlers.discarding());
        }
        // Waits until the sender has sent the notices of the messages that could not be delivered.
        Thread.sleep(2000);
        System.exit(0);
    }
}
