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
 * <p>To a leader, the process that led before it is the predecessor, and the follower that takes over is the successor.
 */
final class ProcessHandover {
    /** Interval between tries to acquire the leader lock or to connect to the leader. */
    private static final long SEEK_MS = 50;

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

    /** An attempt of the predecessor that is still in flight there; attempts with the same call number share a call. */
    record InFlightAttempt(long message, int attempt, long call) {
    }

    /** The result of an attempt that the predecessor made; {@code gone}: the message has expired at its destination. */
    record InFlightResult(long message, int attempt, Relay.Outcome outcome, boolean gone, double waitMs,
                  Relay.LoadReport report, double tookMs) {
    }

    /** What the sender does on the events of a handover. */
    interface Callbacks {
        /** This process leads from now on, with the predecessor's state if that could hand it over. */
        void becomeLeader(Optional<HandoverState> legacy) throws IOException;

        /** The state that this leader would hand over now. */
        HandoverState handoverState();

        /** The successor listens for clients, so this process may stop listening. */
        void successorListening();

        /** The predecessor forwards a message that a client submitted there; returns the status to answer with. */
        HttpResponseStatus messageForwarded(ClientServer.Submission submission);

        /** An attempt of the predecessor has completed. */
        void predecessorAttemptCompleted(InFlightResult end);

        /** An endpoint has asked the predecessor to back off (Retry-After). */
        void retryAfterForwarded(String endpoint, double waitMs);

        /** The successor cancels an attempt that was made here. */
        void attemptCancelled(long message, int attempt);

        /** The predecessor is gone, and with it the results of its attempts in flight. */
        void predecessorGone();
    }

    private final EventLoop loop;
    private final LeaderLock helm;
    private final Path socket;
    /** Whether processes connect to each other; without it a process can only wait until the leader ends. */
    private final boolean links;
    private final Callbacks heir;
    private final JsonMapper json = JsonMapper.builder()
            // A later release may send more fields.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
    /** A follower's connection to the leader, or a leader's to its predecessor. */
    private Optional<ProcessConnection> before = Optional.empty();
    /** The connection to the follower that will take over, or has taken over. */
    private Optional<ProcessConnection> next = Optional.empty();
    private Channel listener;
    private boolean leads;
    private boolean welcome;
    private boolean closed;
    /** Why this process could not become the leader when it last tried, to log each reason once in a row. */
    private String obstacle = "";
    /** Clients' answers that wait for the successor's status, by the number of the forwarded message. */
    private final Map<Long, Consumer<HttpResponseStatus>> asked = new HashMap<>();
    private long asks;

    ProcessHandover(EventLoop loop, Path folder, boolean links, Callbacks heir) {
        this.loop = loop;
        this.helm = new LeaderLock(folder);
        this.socket = folder.resolve("helm.sock");
        this.links = links;
        this.heir = heir;
    }

    /** Becomes the leader if no other process is, or else a follower; retries if the folder can't be used yet. */
    void start() {
        try {
            if (helm.take()) {
                lead(Optional.empty());
                return;
            }
            Log.write("another process of this sender is the leader; this one waits as its follower");
        } catch (IOException e) {
            cantLead(e);
        }
        seek();
    }

    /** Logs why this process can't lead yet; since it retries, a repeated reason is not logged again. */
    private void cantLead(IOException e) {
        String reason = String.valueOf(e.getMessage());
        if (!reason.equals(obstacle)) {
            obstacle = reason;
            Log.write("can't become the leader yet, will retry: " + reason);
        }
    }

    /** Whether the leader has registered this process as its follower, so that it can take over without a gap. */
    boolean isRegisteredFollower() {
        return !leads && welcome;
    }

    /** Whether this process leads and is still connected to the one that it took over from. */
    boolean hasPredecessor() {
        return leads && before.isPresent();
    }

    private void lead(Optional<HandoverState> legacy) throws IOException {
        leads = true;
        try {
            heir.becomeLeader(legacy);
        } catch (IOException e) {
            leads = false;
            throw e;
        }
        if (links) {
            listen();
        }
    }

    /**
     * Listens for a follower, in the place of an earlier process's socket. If that fails, a successor can only start
     * once this process has ended.
     */
    private void listen() {
        try {
            Files.deleteIfExists(socket);
            ChannelFuture bound = ProcessConnection.listen(loop, socket, new Follower());
            listener = bound.channel();
            bound.addListener(f -> {
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

    private void seek() {
        if (closed) {
            return;
        }
        try {
            if (helm.take()) {
                lead(Optional.empty());
                return;
            }
        } catch (IOException e) {
            cantLead(e);
        }
        if (!links) {
            seekLater();
            return;
        }
        ProcessConnection.connect(loop, socket, new Leader()).addListener(f -> {
            if (!f.isSuccess()) {
                seekLater();
            }
        });
    }

    private void seekLater() {
        loop.schedule(this::seek, SEEK_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes over with the leader's state; the leader released the lock before it sent that. */
    private void takeOver(HandoverState legacy) throws IOException {
        if (helm.take()) {
            lead(Optional.of(legacy));
        } else {
            Log.write("the leader lock was released to this process, but another process has acquired it");
        }
    }

    /** Handles messages from the leader, or from the predecessor once this process leads. */
    private final class Leader implements ProcessConnection.MessageHandler {
        @Override
        public void opened(ProcessConnection link) {
            before = Optional.of(link);
            link.tell(message("follow"));
        }

        @Override
        public void heard(ProcessConnection link, JsonNode told) throws IOException {
            switch (told.path("do").asText()) {
                case "welcome" -> {
                    // Warms up the parser: the first parse takes long, and would delay the takeover itself.
                    json.treeToValue(told.path("legacy"), HandoverState.class);
                    welcome = true;
                }
                case "helm" -> takeOver(json.treeToValue(told.path("legacy"), HandoverState.class));
                case "message" -> {
                    HttpResponseStatus status = heir.messageForwarded(submission(told));
                    link.tell(message("answer").put("ask", told.path("ask").asLong()).put("status", status.code()));
                }
                case "wait" -> heir.retryAfterForwarded(told.path("endpoint").asText(), told.path("wait").asDouble());
                case "end" -> heir.predecessorAttemptCompleted(
                        json.treeToValue(told.path("end"), InFlightResult.class));
                default -> Log.write("unknown type of handover message from the predecessor process is ignored");
            }
        }

        @Override
        public void closed(ProcessConnection link) {
            before = Optional.empty();
            welcome = false;
            if (leads) {
                heir.predecessorGone();
            } else {
                seek();
            }
        }
    }

    /** Notifies the predecessor that this process listens for clients, so that it can stop listening. */
    void notifyListening() {
        before.ifPresent(link -> link.tell(message("listening")));
    }

    /** Asks the predecessor to cancel an attempt that it made. */
    void cancelAttempt(long message, int attempt) {
        before.ifPresent(link -> link.tell(message("cancel").put("message", message).put("attempt", attempt)));
    }

    // ---- as a leader ----

    /** Whether a follower is connected and can take over. */
    boolean hasFollower() {
        return leads && next.isPresent();
    }

    /** Releases the leader lock and sends the state to the successor; the journal must be closed by now. */
    void handOver(HandoverState legacy) {
        leads = false;
        helm.release();
        tellNext(message("helm").set("legacy", json.valueToTree(legacy)));
    }

    /** Forwards a client's message to the successor. The answer comes later; it is 503 if the successor is gone. */
    void forward(ClientServer.Submission s, Consumer<HttpResponseStatus> answer) {
        if (next.isEmpty()) {
            answer.accept(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        asked.put(++asks, answer);
        tellNext(message("message").put("ask", asks).put("id", s.id()).put("class", s.messageClass())
                .put("tenant", s.tenant()).put("key", s.key().orElse(null)).put("dest", s.destination())
                .put("budget", s.budgetMs()).put("body", s.body()));
    }

    void sendResult(InFlightResult end) {
        tellNext(message("end").set("end", json.valueToTree(end)));
    }

    void sendRetryAfter(String endpoint, double waitMs) {
        tellNext(message("wait").put("endpoint", endpoint).put("wait", waitMs));
    }

    private void tellNext(ObjectNode what) {
        next.ifPresent(link -> link.tell(what));
    }

    /** Handles messages from a follower, or from the successor once it has taken over. */
    private final class Follower implements ProcessConnection.MessageHandler {
        @Override
        public void opened(ProcessConnection link) {
        }

        @Override
        public void heard(ProcessConnection link, JsonNode told) {
            switch (told.path("do").asText()) {
                case "follow" -> {
                    if (leads) {
                        next = Optional.of(link);
                        tellNext(message("welcome").set("legacy", json.valueToTree(heir.handoverState())));
                    } else {
                        link.close();
                    }
                }
                case "listening" -> heir.successorListening();
                case "answer" -> Optional.ofNullable(asked.remove(told.path("ask").asLong()))
                        .ifPresent(answer -> answer.accept(HttpResponseStatus.valueOf(told.path("status").asInt())));
                case "cancel" -> heir.attemptCancelled(told.path("message").asLong(), told.path("attempt").asInt());
                default -> Log.write("unknown type of handover message from the successor process is ignored");
            }
        }

        @Override
        public void closed(ProcessConnection link) {
            if (next.filter(n -> n == link).isPresent()) {
                next = Optional.empty();
                new ArrayList<>(asked.values()).forEach(a -> a.accept(HttpResponseStatus.SERVICE_UNAVAILABLE));
                asked.clear();
            }
        }
    }

    /** Releases the lock and closes all connections, as the end of the process would. */
    void close() {
        closed = true;
        helm.release();
        before.ifPresent(ProcessConnection::close);
        next.ifPresent(ProcessConnection::close);
        if (listener != null) {
            listener.close();
        }
    }

    private ObjectNode message(String what) {
        return json.createObjectNode().put("do", what);
    }

    private static ClientServer.Submission submission(JsonNode told) throws IOException {
        return new ClientServer.Submission(told.path("id").asText(), told.path("class").asText(),
                told.path("tenant").asText(), Optional.ofNullable(told.path("key").textValue()),
                told.path("dest").asLong(), told.path("budget").asLong(), told.path("body").binaryValue());
    }
}
