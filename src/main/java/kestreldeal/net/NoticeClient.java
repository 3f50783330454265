package kestreldeal.net;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Delivers notices of final results to the platform's agent, in order. One request at a time is in flight, with as many
 * notices as fit in a body; notices that were not acknowledged are sent again, since a duplicate does no harm. If the
 * agent rejects a request, its notices are sent one by one from then on and after all others, so that a single invalid
 * notice does not block the rest.
 */
final class NoticeClient {
    /** The protocol limits a body to 64 KiB. */
    private static final int MOST_BYTES = 60_000;
    /** The agent responds at once; after this time its connection counts as broken. */
    private static final long SILENT_MS = 500;
    private static final long PAUSE_MS = 100;
    /** A notice is dropped after this many rejections. */
    private static final int MOST_REFUSALS = 5;

    private final EventLoop loop;
    private final Consumer<AcceptedMessage> heard;
    private final JsonMapper json = JsonMapper.builder().build();
    private final Deque<Owed> waiting = new ArrayDeque<>();
    /** The notices in the current request; empty if there is none. */
    private List<Owed> told = List.of();
    private AgentClient agent;
    private boolean pausing;
    private boolean stopped;

    /** A notice that is not yet delivered, with the number of rejected requests that contained it. */
    private static final class Owed {
        private final AcceptedMessage held;
        private int refusals;

        Owed(AcceptedMessage held) {
            this.held = held;
        }
    }

    NoticeClient(EventLoop loop, AgentClient agent, Consumer<AcceptedMessage> heard) {
        this.loop = loop;
        this.agent = agent;
        this.heard = heard;
    }

    /** Queues the pending notice of a message for delivery. */
    void enqueue(AcceptedMessage held) {
        waiting.add(new Owed(held));
        tell();
    }

    /** Number of notices that are not yet delivered. */
    int pendingCount() {
        return waiting.size() + told.size();
    }

    /** Switches to another agent, which also gets the notices that the old one has not acknowledged. */
    void switchAgent(AgentClient other) {
        agent.close();
        agent = other;
        putBack();
        tell();
    }

    /** Stops all deliveries: another process takes over the notices, also those not yet acknowledged. */
    void stop() {
        stopped = true;
        agent.close();
        waiting.clear();
        told = List.of();
    }

    private void tell() {
        if (stopped || pausing || !told.isEmpty() || waiting.isEmpty()) {
            return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        List<Owed> batch = new ArrayList<>();
        boolean alone = waiting.peek().refusals > 0;
        byte[] line = line(waiting.peek().held);
        do {
            body.writeBytes(line);
            batch.add(waiting.remove());
            line = waiting.isEmpty() ? line : line(waiting.peek().held);
        } while (!alone && !waiting.isEmpty() && waiting.peek().refusals == 0
                && body.size() + line.length <= MOST_BYTES);
        told = batch;
        agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/reports",
                Unpooled.wrappedBuffer(body.toByteArray())), SILENT_MS, new Answer());
    }

    private final class Answer implements AgentClient.ResponseHandler {
        private int status;

        @Override
        public void responseStarted(int code) {
            status = code;
        }

        @Override
        public Optional<String> bodyChunk(ByteBuf content) {
            return Optional.empty();
        }

        @Override
        public void responseEnded(Optional<String> fault) {
            if (fault.isPresent()) {
                putBack();
            } else if (status == HttpResponseStatus.NO_CONTENT.code()) {
                heard();
                return;
            } else if (status == HttpResponseStatus.BAD_REQUEST.code()) {
                refused();
            } else {
                putBack();
            }
            tellLater();
        }
    }

    private void heard() {
        List<Owed> done = told;
        told = List.of();
        done.forEach(owed -> heard.accept(owed.held));
        tell();
    }

    /** The agent rejected the request as invalid: its notices are sent one by one from now on, after all others. */
    private void refused() {
        List<Owed> unread = told;
        told = List.of();
        for (Owed owed : unread) {
            owed.refusals++;
            if (owed.refusals < MOST_REFUSALS) {
                waiting.add(owed);
            } else {
                Log.write("the agent rejects the notice of a final result, which is dropped; message " + owed.held.id);
                heard.accept(owed.held);
            }
        }
    }

    private void tellLater() {
        pausing = true;
        loop.schedule(() -> {
            pausing = false;
            tell();
        }, PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    /** Puts the notices of the current request back at the head of the queue, in their order. */
    private void putBack() {
        for (int i = told.size() - 1; i >= 0; i--) {
            waiting.addFirst(told.get(i));
        }
        told = List.of();
    }

    private byte[] line(AcceptedMessage held) {
        AcceptedMessage.Notice notice = held.pendingNotice.orElseThrow();
        ObjectNode line = json.createObjectNode().put("ref", held.id)
                .put("result", notice.bounced() ? "bounced" : "dead");
        if (notice.bounced() && notice.retryAfterMs() > 0) {
            line.put("wait_ms", (long) Math.ceil(notice.retryAfterMs()));
        }
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
