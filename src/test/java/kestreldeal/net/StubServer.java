package kestreldeal.net;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** A scripted HTTP server on a loopback socket, and helpers for a plain HTTP client, for tests. */
final class StubServer implements AutoCloseable {
    /** A request or a response; {@code connection} is the number of its connection at this server. */
    record Message(String line, Map<String, String> headers, String body, int connection, long receivedNanos) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Handles a request: may write to the socket, close it, or do nothing. */
    interface Script {
        void handle(Message request, Socket socket) throws Exception;
    }

    final List<Message> requests = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Script script;
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private final AtomicInteger endedConnections = new AtomicInteger();

    StubServer(Script script) throws IOException {
        this(script, 50);
        startAccepting();
    }

    private StubServer(Script script, int backlog) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    }

    /**
     * Creates a server whose accept queue is full: further connections are established a second or more after
     * {@link #startAccepting}.
     */
    static StubServer withFullAcceptQueue(Script script) throws IOException {
        StubServer stub = new StubServer(script, 1);
        // The system's queue holds one connection more than the backlog.
        for (int i = 0; i < 2; i++) {
            stub.sockets.add(new Socket(stub.address().getAddress(), stub.address().getPort()));
        }
        return stub;
    }

    /** Starts to accept connections. */
    void startAccepting() {
        startDaemon(this::acceptConnections);
    }

    void setScript(Script next) {
        script = next;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String hostPort() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Number of connections accepted. */
    int acceptedConnections() {
        return acceptedConnections.get();
    }

    /** Number of connections that have ended. */
    int endedConnections() {
        return endedConnections.get();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                if (server.isClosed()) {
                    // Accepted in the moment of close(), which may have missed it.
                    socket.close();
                }
                int connection = acceptedConnections.getAndIncrement();
                startDaemon(() -> serve(socket, connection));
            }
        } catch (IOException closed) {
            // The server was closed at the end of the test.
        }
    }

    private void serve(Socket socket, int connection) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message message = read(in, connection); message != null; message = read(in, connection)) {
                requests.add(message);
                script.handle(message, socket);
            }
        } catch (Exception disconnected) {
            // The client may disconnect at any time.
        } finally {
            endedConnections.incrementAndGet();
        }
    }

    /** Reads one message whose body has a content length; null at the end of the stream. */
    static Message read(InputStream in, int connection) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(line, headers, new String(body, StandardCharsets.ISO_8859_1), connection,
                System.nanoTime());
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Writes this text to every connection. */
    void writeToAll(String text) throws IOException {
        for (Socket socket : sockets) {
            write(socket, text);
        }
    }

    /** Answers with a status and further header lines, each of which must end with a line break. */
    static Script status(int status, String headers) {
        return (request, socket) -> write(socket, "HTTP/1.1 " + status + " x\r\n" + headers
                + "Content-Length: 0\r\n\r\n");
    }

    static Script silent() {
        return (request, socket) -> { };
    }

    /** Waits until a condition holds, and fails if it does not within 30 seconds. */
    static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + 30_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("timed out waiting for: " + description);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
