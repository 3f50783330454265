package kestreldeal.net;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import kestreldeal.Relay;

/**
 * Lets one process of a sender take over from another while both run, without a gap in service. The leader holds the
 * {@link LeaderLock}. A process that starts beside it is a follower: it connects to the leader and waits. A leader that
 * is asked to shut down releases the lock and sends the follower its {@link HandoverState}; after that it forwards the
 * messages that its clients still submit and the results of its calls in flight. If the leader dies instead, the lock
 * is free, and the follower takes over with the journal alone.
 *
 * <p>A sender is one configured instance with one state folder; several of its processes may run at a time. To a
 * leader, the process that led before it is the predecessor, and the follower that takes over is the successor.
 *
 * <p>Types of messages between the processes:
 * <ul>
 * <li>{@code follow}: the follower registers with the leader;
 * <li>{@code welcome}: the leader confirms that, with its present state in {@code legacy};
 * <li>{@code helm}: the leader hands over, with its final state in {@code legacy};
 * <li>{@code message} and {@code answer}: a submission that the predecessor forwards, and the status that the successor
 *     answers with; {@code ask} is the number that matches them;
 * <li>{@code wait}: the predecessor passes on a Retry-After wait of an endpoint;
 * <li>{@code end}: the predecessor passes on the result of an attempt;
 * <li>{@code cancel}: the successor cancels an attempt of the predecessor;
 * <li>{@code listening}: the successor accepts clients.
 * </ul>
 */
final class ProcessHandover {
    /** Interval between tries to acquire the leader lock or to connect to the leader. */
    private static final long RETRY_INTERVAL_MS = 50;

    /**
     * What the leader hands over beside the journal.
     *
     * @param ended ids of the most recently completed messages, and whether each was delivered
     * @param out the attempts in flight
     * @param endpoints the ids of the endpoints in {@code memory}, in the same order
     * @param memory the decision module's learned state
     */
    record HandoverState(Map<String, Boolean> ended, List<InFlightAttempt> out, List<String> endpoints,
            Relay.LearnedState memory) {
    }

    /**
     * An attempt of the predecessor that is still in flight there: the numbers of its message, of the attempt, and of
     * the call that carries it, which other attempts may share.
     */
    record InFlightAttempt(long message, int attempt, long call) {
    }

    /**
     * The result of an attempt that the predecessor made. {@code gone}: the message has expired at its destination;
     * {@code waitMs}: the Retry-After wait, or 0; {@code tookMs}: how long the attempt took.
     */
    record InFlightResult(long message, int attempt, Relay.Outcome outcome, boolean gone, double waitMs,
                  Relay.LoadReport report, double tookMs) {
    }

    /** The sender's part in a handover. */
    interface Callbacks {
        /** This process becomes the leader. The state is empty unless the predecessor handed it over. */
        void becomeLeader(Optional<HandoverState> handoverState) throws IOException;

        /** The state that this leader would hand over now. */
        HandoverState handoverState();

        /** The successor listens for clients, so this process may stop listening. */
        void successorListening();

        /** The predecessor forwards a message that a client submitted there; returns the status to answer with. */
        HttpResponseStatus acceptForwarded(ClientServer.Submission submission);

        /** An attempt of the predecessor has completed. */
        void predecessorAttemptCompleted(InFlightResult result);

        /** An endpoint has asked the predecessor to back off (Retry-After). */
        void retryAfterForwarded(String endpoint, double retryAfterMs);

        /** The successor cancels an attempt that was made here. */
        void attemptCancelled(long message, int attempt);

        /** The predecessor is gone, and with it the results of its attempts in flight. */
        void predecessorGone();
    }

    private final EventLoop loop;
    private final LeaderLock leaderLock;
    private final Path socketPath;
    /** Whether processes connect to each other; otherwise a process can take over only once the leader has ended. */
    private final boolean handoverAllowed;
    private final Callbacks callbacks;
    private final JsonMapper json = JsonMapper.builder()
            // A later release may send more fields.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
    /** A follower's connection to the leader, or a leader's to its predecessor. */
    private Optional<ProcessConnection> predecessor = Optional.empty();
    /** The connection to the follower that will take over, or has taken over. */
    private Optional<ProcessConnection> successor = Optional.empty();
    /** Listens for a follower; null unless this process has become the leader. */
    private Channel serverChannel;
    private boolean isLeader;
    /** Whether the leader has confirmed this process as its follower. */
    private boolean registeredWithLeader;
    private boolean closed;
    /**
     * The last logged reason why this process could not become the leader, so that it is not logged again at each
     * retry.
     */
    private String lastFailureReason = "";
    /** Clients' answers that wait for the successor's status, by the number of the forwarded message. */
    private final Map<Long, Consumer<HttpResponseStatus>> pendingAnswers = new HashMap<>();
    private long lastForwardNumber;

    ProcessHandover(EventLoop loop, Path folder, boolean handoverAllowed, Callbacks callbacks) {
        this.loop = loop;
        this.leaderLock = new LeaderLock(folder);
        // The Unix domain socket on which the leader listens for a follower.
        this.socketPath = folder.resolve("helm.sock");
        this.handoverAllowed = handoverAllowed;
        this.callbacks = callbacks;
    }

    /** Becomes the leader, or a follower if another process leads. Retries while the folder can't be used. */
    void start() {
        try {
            if (leaderLock.tryAcquire()) {
                becomeLeader(Optional.empty());
                return;
            }
            Log.write("another process of this sender is the leader; this one waits as its follower");
        } catch (IOException e) {
            logCannotLead(e);
        }
        becomeLeaderOrConnect();
    }

    /** Logs why this process can't lead yet; since it retries, a repeated reason is not logged again. */
    private void logCannotLead(IOException e) {
        String reason = String.valueOf(e.getMessage());
        if (!reason.equals(lastFailureReason)) {
            lastFailureReason = reason;
            Log.write("can't become the leader yet, will retry: " + reason);
        }
    }

    /** Whether the leader has registered this process as its follower, so that it can take over without a gap. */
    boolean isRegisteredFollower() {
        return !isLeader && registeredWithLeader;
    }

    /** Whether this process leads and is still connected to the one that it took over from. */
    boolean hasPredecessor() {
        return isLeader && predecessor.isPresent();
    }

    private void becomeLeader(Optional<HandoverState> handoverState) throws IOException {
        isLeader = true;
        try {
            callbacks.becomeLeader(handoverState);
        } catch (IOException e) {
            isLeader = false;
            throw e;
        }
        if (handoverAllowed) {
            listenForFollower();
        }
    }

    /**
     * Listens for a follower, after deleting the socket file of an earlier process. If that fails, no process can take
     * over before this one has ended.
     */
    private void listenForFollower() {
        try {
            Files.deleteIfExists(socketPath);
            ChannelFuture binding = ProcessConnection.listen(loop, socketPath, new SuccessorHandler());
            serverChannel = binding.channel();
            binding.addListener(f -> {
                if (!f.isSuccess()) {
                    Log.write("can't listen for a successor, no process can take over while this one runs: "
                            + f.cause().getMessage());
                }
            });
        } catch (IOException | RuntimeException e) {
            Log.write("can't listen for a successor, no process can take over while this one runs: " + e.getMessage());
        }
    }

    // ---- as a follower ----

    private void becomeLeaderOrConnect() {
        if (closed) {
            return;
        }
        try {
            if (leaderLock.tryAcquire()) {
                becomeLeader(Optional.empty());
                return;
            }
        } catch (IOException e) {
            logCannotLead(e);
        }
        if (!handoverAllowed) {
            scheduleRetry();
            return;
        }
        ProcessConnection.connect(loop, socketPath, new PredecessorHandler()).addListener(f -> {
            if (!f.isSuccess()) {
                scheduleRetry();
            }
        });
    }

    private void scheduleRetry() {
        loop.schedule(this::becomeLeaderOrConnect, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes over with the leader's state; the leader released the lock before it sent that. */
    private void takeOver(HandoverState handoverState) throws IOException {
        if (leaderLock.tryAcquire()) {
            becomeLeader(Optional.of(handoverState));
        } else {
            Log.write("another process has acquired the leader lock before this one;"
                    + " will retry when the predecessor has exited");
        }
    }

    /** Handles messages from the leader, or from the predecessor once this process leads. */
    private final class PredecessorHandler implements ProcessConnection.MessageHandler {
        @Override
        public void opened(ProcessConnection connection) {
            predecessor = Optional.of(connection);
            connection.send(newMessage("follow"));
        }

        @Override
        public void received(ProcessConnection connection, JsonNode message) throws IOException {
            switch (message.path("do").asText()) {
                case "welcome" -> {
                    // Parsed only to load the classes and to warm up the parser: the first parse takes long, and would
                    // delay the takeover itself.
                    json.treeToValue(message.path("legacy"), HandoverState.class);
                    registeredWithLeader = true;
                }
                case "helm" -> takeOver(json.treeToValue(message.path("legacy"), HandoverState.class));
                case "message" -> {
                    HttpResponseStatus status = callbacks.acceptForwarded(parseSubmission(message));
                    connection.send(newMessage("answer").put("ask", message.path("ask").asLong())
                            .put("status", status.code()));
                }
                case "wait" -> callbacks.retryAfterForwarded(message.path("endpoint").asText(),
                        message.path("wait").asDouble());
                case "end" -> callbacks.predecessorAttemptCompleted(
                        json.treeToValue(message.path("end"), InFlightResult.class));
                default -> Log.write("ignoring a handover message of unknown type from the predecessor");
            }
        }

        @Override
        public void closed(ProcessConnection connection) {
            predecessor = Optional.empty();
            registeredWithLeader = false;
            if (isLeader) {
                callbacks.predecessorGone();
            } else {
                becomeLeaderOrConnect();
            }
        }
    }

    /** Notifies the predecessor that this process listens for clients, so that it can stop listening. */
    void notifyListening() {
        predecessor.ifPresent(connection -> connection.send(newMessage("listening")));
    }

    /** Asks the predecessor to cancel an attempt that it made. */
    void cancelAttempt(long message, int attempt) {
        predecessor.ifPresent(connection -> connection.send(
                newMessage("cancel").put("message", message).put("attempt", attempt)));
    }

    // ---- as a leader ----

    /** Whether a follower is connected and can take over. */
    boolean hasFollower() {
        return isLeader && successor.isPresent();
    }

    /** Releases the leader lock and sends the state to the successor; the journal must be closed by now. */
    void handOver(HandoverState handoverState) {
        isLeader = false;
        leaderLock.release();
        sendToSuccessor(newMessage("helm").set("legacy", json.valueToTree(handoverState)));
    }

    /**
     * Forwards a submission to the successor and passes on its status; that is 503 if the successor is gone or exits
     * meanwhile.
     */
    void forward(ClientServer.Submission submission, Consumer<HttpResponseStatus> answer) {
        if (successor.isEmpty()) {
            answer.accept(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        pendingAnswers.put(++lastForwardNumber, answer);
        sendToSuccessor(newMessage("message").put("ask", lastForwardNumber).put("id", submission.id())
                .put("class", submission.messageClass()).put("tenant", submission.tenant())
                .put("key", submission.key().orElse(null)).put("dest", submission.destination())
                .put("budget", submission.budgetMs()).put("body", submission.body()));
    }

    void sendResult(InFlightResult result) {
        sendToSuccessor(newMessage("end").set("end", json.valueToTree(result)));
    }

    void sendRetryAfter(String endpoint, double retryAfterMs) {
        sendToSuccessor(newMessage("wait").put("endpoint", endpoint).put("wait", retryAfterMs));
    }

    private void sendToSuccessor(ObjectNode message) {
        successor.ifPresent(connection -> connection.send(message));
    }

    /** Handles messages from a follower, or from the successor once it has taken over. */
    private final class SuccessorHandler implements ProcessConnection.MessageHandler {
        @Override
        public void opened(ProcessConnection connection) {
        }

        @Override
        public void received(ProcessConnection connection, JsonNode message) {
            switch (message.path("do").asText()) {
                case "follow" -> {
                    if (isLeader) {
                        successor = Optional.of(connection);
                        sendToSuccessor(newMessage("welcome")
                                .set("legacy", json.valueToTree(callbacks.handoverState())));
                    } else {
                        connection.close();
                    }
                }
                case "listening" -> callbacks.successorListening();
                case "answer" -> Optional.ofNullable(pendingAnswers.remove(message.path("ask").asLong()))
                        .ifPresent(answer -> answer.accept(HttpResponseStatus.valueOf(message.path("status").asInt())));
                case "cancel" -> callbacks.attemptCancelled(message.path("message").asLong(),
                        message.path("attempt").asInt());
                default -> Log.write("ignoring a handover message of unknown type from the successor");
            }
        }

        @Override
        public void closed(ProcessConnection connection) {
            if (successor.filter(current -> current == connection).isPresent()) {
                successor = Optional.empty();
                new ArrayList<>(pendingAnswers.values())
                        .forEach(answer -> answer.accept(HttpResponseStatus.SERVICE_UNAVAILABLE));
                pendingAnswers.clear();
            }
        }
    }

    /** For tests: releases the lock and closes all connections, as the end of the process would. */
    void close() {
        closed = true;
        leaderLock.release();
        predecessor.ifPresent(ProcessConnection::close);
        successor.ifPresent(ProcessConnection::close);
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    private ObjectNode newMessage(String type) {
        return json.createObjectNode().put("do", type);
    }

    private static ClientServer.Submission parseSubmission(JsonNode message) throws IOException {
        return new ClientServer.Submission(message.path("id").asText(), message.path("class").asText(),
                message.path("tenant").asText(), Optional.ofNullable(message.path("key").textValue()),
                message.path("dest").asLong(), message.path("budget").asLong(), message.path("body").binaryValue());
    }
}
