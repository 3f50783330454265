package kestreldeal.net;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Answers the list requests of a sender as an agent does that tells changes: a watch is answered with the changes since
 * its generation, and without entries at the end of its wait. Notices are answered by the environment.
 */
final class StubDiscovery implements StubServer.Script {
    private static final Pattern WATCH = Pattern.compile("GET /v1/servers\\?after=(\\d+)&wait_ms=(\\d+) .*");
    private static final long POLL_INTERVAL_MS = 2;

    private final SenderTestEnvironment environment;
    private final List<String> fullList;
    /** The entries of each change; the first one is that of generation 1. */
    private final List<List<String>> changes = new CopyOnWriteArrayList<>();

    /** Begins with a list of these entries, as generation 0. */
    StubDiscovery(SenderTestEnvironment environment, String... entries) {
        this.environment = environment;
        this.fullList = List.of(entries);
        environment.agent.setScript(this);
    }

    /** An entry of the list for destination 0 at the environment's endpoint. */
    String entry(String id, String lifecycle) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + environment.endpoint.hostPort()
                + "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    /** Tells a change, which may have no entries, and waits until the sender has read it and watches for the next. */
    void change(String... entries) throws InterruptedException {
        changes.add(List.of(entries));
        StubServer.await("the change is read", () -> environment.agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + changes.size())));
    }

    @Override
    public void handle(StubServer.Message request, Socket socket) throws Exception {
        Matcher watch = WATCH.matcher(request.line());
        if (request.line().startsWith("POST")) {
            environment.answerAsAgent(request, socket);
        } else if (watch.matches()) {
            int known = Integer.parseInt(watch.group(1));
            long endNanos = System.nanoTime() + Long.parseLong(watch.group(2)) * 1_000_000;
            while (changes.size() <= known && System.nanoTime() < endNanos) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
            List<List<String>> since = changes.subList(known, changes.size());
            writeList(socket, false, known + since.size(), since.stream().flatMap(List::stream).toList());
        } else {
            writeList(socket, true, 0, fullList);
        }
    }

    private static void writeList(Socket socket, boolean full, int generation, List<String> entries) throws IOException {
        String list = "{\"generation\":" + generation + ",\"reset\":" + full + ",\"instances\":["
                + entries.stream().collect(Collectors.joining(",")) + "]}";
        StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }
}
