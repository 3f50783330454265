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
 * The notices that the platform must hear of, in the order owed. One request at a time is out, with as many of
 * them as a body holds; what was not heard goes out again, since a notice that comes twice does no harm. Those of a
 * request that can't be read go one at a time from then on, and behind the others, lest one of them hold up all.
 */
final class NoticeClient {
    /** A body holds at most 64 KiB. */
    private static final int MOST_BYTES = 60_000;
    /** The agent answers at once; later than this its connection is taken for cut. */
    private static final long SILENT_MS = 500;
    private static final long PAUSE_MS = 100;
    /** A notice that can't be read so often never will be. */
    private static final int MOST_REFUSALS = 5;

    private final EventLoop loop;
    private final Consumer<AcceptedMessage> heard;
    private final JsonMapper json = JsonMapper.builder().build();
    private final Deque<Owed> waiting = new ArrayDeque<>();
    /** What the request that is out tells; empty if none is. */
    private List<Owed> told = List.of();
    private AgentClient agent;
    private boolean pausing;
    private boolean stopped;

    /** A notice, and how often a request with it could not be read. */
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

    /** Tells the notice that this message owes, until it is heard. */
    void owe(AcceptedMessage held) {
        waiting.add(new Owed(held));
        tell();
    }

    /** Notices that are still to be heard. */
    int owed() {
        return waiting.size() + told.size();
    }

    /** Tells another agent from now on, also what the old one has not answered yet. */
    void moveTo(AgentClient other) {
        agent.close();
        agent = other;
        putBack();
        tell();
    }

    /** Tells nothing more: another process does, also what this one has not heard the answer to. */
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
        agent.ask(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/reports",
                Unpooled.wrappedBuffer(body.toByteArray())), SILENT_MS, new Answer());
    }

    private final class Answer implements AgentClient.ResponseHandler {
        private int status;

        @Override
        public void begins(int code) {
            status = code;
        }

        @Override
        public Optional<String> piece(ByteBuf content) {
            return Optional.empty();
        }

        @Override
        public void ends(Optional<String> fault) {
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

    /** The agent can't read what it was told: each goes alone from now on, behind those that may be read. */
    private void refused() {
        List<Owed> unread = told;
        told = List.of();
        for (Owed owed : unread) {
            owed.refusals++;
            if (owed.refusals < MOST_REFUSALS) {
                waiting.add(owed);
            } else {
                Log.write("a notice can't be read by the platform and is told no more: " + owed.held.id);
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

    /** Oldest first, as before. */
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
