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
 * How one process of a sender takes over from another while both run. The one that leads holds the {@link LeaderLock}.
 * One that starts beside it follows: it links to the leader and waits. A leader that is told to end hands on the
 * helm with its {@link HandoverState}, then what its clients still hand in and how its calls end; one that dies
 * has handed
 * on its journal at least, since the helm is then free.
 */
final class ProcessHandover {
    /** Between looks whether the leader can be linked to, or is gone. */
    private static final long SEEK_MS = 50;

    /**
     * What the leader hands on beside the journal: ids of messages that were over last, and whether they were
     * delivered; the attempts that are out; what the module knows, the endpoints by their ids.
     */
    record HandoverState(Map<String, Boolean> ended, List<InFlightAttempt> out, List<String> endpoints,
            Relay.LearnedState memory) {
    }

    /** An attempt that the process before made and waits for; those of one call travel together. */
    record InFlightAttempt(long message, int attempt, long call) {
    }

    /** How an attempt ended that the process before made. */
    record InFlightResult(long message, int attempt, Relay.Outcome outcome, boolean gone, double waitMs,
                  Relay.LoadReport report, double tookMs) {
    }

    /** The sender's side. */
    interface Callbacks {
        /** This process leads from now on, with what the one before told, if it could. */
        void lead(Optional<HandoverState> legacy) throws IOException;

        /** What this leader would hand on now. */
        HandoverState legacy();

        /** The process that leads now takes clients: this one need not any more. */
        void relieved();

        /** The process before was handed in a message. */
        HttpResponseStatus handedIn(ClientServer.Submission submission);

        /** An attempt of the process before has ended. */
        void ended(InFlightResult end);

        /** An endpoint has told the process before to wait. */
        void waitTold(String endpoint, double waitMs);

        /** The process that leads now stops waiting for an attempt that was made here. */
        void calledOff(long message, int attempt);

        /** The process before is gone, with all that it had out. */
        void left();
    }

    private final EventLoop loop;
    private final LeaderLock helm;
    private final Path socket;
    /** Without links a process can only wait for the end of the one that leads. */
    private final boolean links;
    private final Callbacks heir;
    private final JsonMapper json = JsonMapper.builder()
            // A later release may tell more.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
    /** A follower's link to its leader, or what was its leader. */
    private Optional<ProcessConnection> before = Optional.empty();
    /** The follower that takes over next, or has. */
    private Optional<ProcessConnection> next = Optional.empty();
    private Channel listener;
    private boolean leads;
    private boolean welcome;
    private boolean closed;
    /** Why this process could not lead when it last tried. */
    private String obstacle = "";
    /** What waits for the word of the process that leads now. */
    private final Map<Long, Consumer<HttpResponseStatus>> asked = new HashMap<>();
    private long asks;

    ProcessHandover(EventLoop loop, Path folder, boolean links, Callbacks heir) {
        this.loop = loop;
        this.helm = new LeaderLock(folder);
        this.socket = folder.resolve("helm.sock");
        this.links = links;
        this.heir = heir;
    }

    /** Leads at once if no other process does, else follows; where its folder fails it goes on trying. */
    void start() {
        try {
            if (helm.take()) {
                lead(Optional.empty());
                return;
            }
            Log.write("another process leads; this one follows");
        } catch (IOException e) {
            cantLead(e);
        }
        seek();
    }

    /** Told once for each reason: it is tried again and again. */
    private void cantLead(IOException e) {
        String reason = String.valueOf(e.getMessage());
        if (!reason.equals(obstacle)) {
            obstacle = reason;
            Log.write("can't lead yet: " + reason);
        }
    }

    /** Whether a leader knows of this process, so that it can take over without a gap. */
    boolean follows() {
        return !leads && welcome;
    }

    /** Whether the process that this one took over from still lives. */
    boolean hasPredecessor() {
        return leads && before.isPresent();
    }

    private void lead(Optional<HandoverState> legacy) throws IOException {
        leads = true;
        try {
            heir.lead(legacy);
        } catch (IOException e) {
            leads = false;
            throw e;
        }
        if (links) {
            listen();
        }
    }

    /** The path may be that of a process that was; without a socket there, a successor starts after the end. */
    private void listen() {
        try {
            Files.deleteIfExists(socket);
            ChannelFuture bound = ProcessConnection.listen(loop, socket, new Follower());
            listener = bound.channel();
            bound.addListener(f -> {
                if (!f.isSuccess()) {
                    Log.write("no process can take over while this one runs: " + f.cause().getMessage());
                }
            });
        } catch (IOException | RuntimeException e) {
            Log.write("no process can take over while this one runs: " + e.getMessage());
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

    /** What the leader told goes with the helm, which it left before it told. */
    private void takeOver(HandoverState legacy) throws IOException {
        if (helm.take()) {
            lead(Optional.of(legacy));
        } else {
            Log.write("another process has taken the helm");
        }
    }

    /** The word of the process before this one. */
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
                    // Read for the practice: the first time takes long, and would fall into the gap.
                    json.treeToValue(told.path("legacy"), HandoverState.class);
                    welcome = true;
                }
                case "helm" -> takeOver(json.treeToValue(told.path("legacy"), HandoverState.class));
                case "message" -> {
                    HttpResponseStatus status = heir.handedIn(submission(told));
                    link.tell(message("answer").put("ask", told.path("ask").asLong()).put("status", status.code()));
                }
                case "wait" -> heir.waitTold(told.path("endpoint").asText(), told.path("wait").asDouble());
                case "end" -> heir.ended(json.treeToValue(told.path("end"), InFlightResult.class));
                default -> Log.write("the process before told what is not understood");
            }
        }

        @Override
        public void closed(ProcessConnection link) {
            before = Optional.empty();
            welcome = false;
            if (leads) {
                heir.left();
            } else {
                seek();
            }
        }
    }

    /** This process listens for clients: the one before need not any more. */
    void listens() {
        before.ifPresent(link -> link.tell(message("listening")));
    }

    /** Stops waiting for an attempt that the process before made. */
    void callOff(long message, int attempt) {
        before.ifPresent(link -> link.tell(message("cancel").put("message", message).put("attempt", attempt)));
    }

    // ---- as a leader ----

    /** Whether another process stands by. */
    boolean hasFollower() {
        return leads && next.isPresent();
    }

    /** Hands the helm on; the journal must be closed by now. */
    void handOver(HandoverState legacy) {
        leads = false;
        helm.release();
        tellNext(message("helm").set("legacy", json.valueToTree(legacy)));
    }

    /** Hands on what a client handed in; the answer comes later, and is a refusal if nobody is left to give one. */
    void handOn(ClientServer.Submission s, Consumer<HttpResponseStatus> answer) {
        if (next.isEmpty()) {
            answer.accept(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        asked.put(++asks, answer);
        tellNext(message("message").put("ask", asks).put("id", s.id()).put("class", s.messageClass())
                .put("tenant", s.tenant()).put("key", s.key().orElse(null)).put("dest", s.destination())
                .put("budget", s.budgetMs()).put("body", s.body()));
    }

    void tellEnd(InFlightResult end) {
        tellNext(message("end").set("end", json.valueToTree(end)));
    }

    void tellWait(String endpoint, double waitMs) {
        tellNext(message("wait").put("endpoint", endpoint).put("wait", waitMs));
    }

    private void tellNext(ObjectNode what) {
        next.ifPresent(link -> link.tell(what));
    }

    /** The word of the process after this one. */
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
                        tellNext(message("welcome").set("legacy", json.valueToTree(heir.legacy())));
                    } else {
                        link.close();
                    }
                }
                case "listening" -> heir.relieved();
                case "answer" -> Optional.ofNullable(asked.remove(told.path("ask").asLong()))
                        .ifPresent(answer -> answer.accept(HttpResponseStatus.valueOf(told.path("status").asInt())));
                case "cancel" -> heir.calledOff(told.path("message").asLong(), told.path("attempt").asInt());
                default -> Log.write("the process after told what is not understood");
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

    /** Lets go of everything, as the end of the process would. */
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
