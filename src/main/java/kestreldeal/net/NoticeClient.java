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
    private static final int MAX_BODY_BYTES = 60_000;
    /** The agent responds at once; after this time its connection counts as broken. */
    private static final long RESPONSE_TIMEOUT_MS = 500;
    private static final long RETRY_DELAY_MS = 100;
    /** A notice is dropped after this many rejections. */
    private static final int MAX_REJECTIONS = 5;

    private final EventLoop loop;
    private final Consumer<AcceptedMessage> onDelivered;
    private final JsonMapper json = JsonMapper.builder().build();
    private final Deque<PendingNotice> queue = new ArrayDeque<>();
    /** The notices in the current request; empty if there is none. */
    private List<PendingNotice> inFlight = List.of();
    private AgentClient agent;
    private boolean retryScheduled;
    private boolean stopped;

    /** A notice that is not yet delivered, with the number of rejected requests that contained it. */
    private static final class PendingNotice {
        private final AcceptedMessage message;
        private int rejections;
        private boolean sent;

        PendingNotice(AcceptedMessage message) {
            this.message = message;
        }
    }

    NoticeClient(EventLoop loop, AgentClient agent, Consumer<AcceptedMessage> onDelivered) {
        this.loop = loop;
        this.agent = agent;
        this.onDelivered = onDelivered;
    }

    /** Queues the pending notice of a message for delivery. */
    void enqueue(AcceptedMessage message) {
        queue.add(new PendingNotice(message));
        sendNext();
    }

    /** Withdraws the notice of a message; returns false if it is, or may have been, sent already. */
    boolean withdraw(AcceptedMessage message) {
        return queue.removeIf(notice -> notice.message == message && !notice.sent);
    }

    /** Number of notices that are not yet delivered. */
    int pendingCount() {
        return queue.size() + inFlight.size();
    }

    /** Switches to another agent, which also gets the notices that the old one has not acknowledged. */
    void switchAgent(AgentClient newAgent) {
        agent.close();
        agent = newAgent;
        requeueInFlight();
        sendNext();
    }

    /** Stops all deliveries: another process takes over the notices, also those not yet acknowledged. */
    void stop() {
        stopped = true;
        agent.close();
        queue.clear();
        inFlight = List.of();
    }

    private void sendNext() {
        if (stopped || retryScheduled || !inFlight.isEmpty() || queue.isEmpty()) {
            return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        List<PendingNotice> batch = new ArrayList<>();
        boolean alone = queue.peek().rejections > 0;
        byte[] line = encodeLine(queue.peek().message);
        do {
            body.writeBytes(line);
            batch.add(queue.remove());
            line = queue.isEmpty() ? line : encodeLine(queue.peek().message);
        } while (!alone && !queue.isEmpty() && queue.peek().rejections == 0
                && body.size() + line.length <= MAX_BODY_BYTES);
        inFlight = batch;
        batch.forEach(notice -> notice.sent = true);
        agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/reports",
                Unpooled.wrappedBuffer(body.toByteArray())), RESPONSE_TIMEOUT_MS, new ReportResponse());
    }

    private final class ReportResponse implements AgentClient.ResponseHandler {
        private int status;

        @Override
        public void responseStarted(int statusCode) {
            status = statusCode;
        }

        @Override
        public Optional<String> bodyChunk(ByteBuf content) {
            return Optional.empty();
        }

        @Override
        public void responseEnded(Optional<String> error) {
            if (error.isPresent()) {
                requeueInFlight();
            } else if (status == HttpResponseStatus.NO_CONTENT.code()) {
                acknowledged();
                return;
            } else if (status == HttpResponseStatus.BAD_REQUEST.code()) {
                rejected();
            } else {
                requeueInFlight();
            }
            scheduleRetry();
        }
    }

    private void acknowledged() {
        List<PendingNotice> delivered = inFlight;
        inFlight = List.of();
        delivered.forEach(notice -> onDelivered.accept(notice.message));
        sendNext();
    }

    /** The agent rejected the request as invalid: its notices are sent one by one from now on, after all others. */
    private void rejected() {
        List<PendingNotice> rejectedNotices = inFlight;
        inFlight = List.of();
        for (PendingNotice notice : rejectedNotices) {
            notice.rejections++;
            if (notice.rejections < MAX_REJECTIONS) {
                queue.add(notice);
            } else {
                Log.write("the agent keeps rejecting the notice of a final result, and it is dropped; message "
                        + notice.message.id);
                onDelivered.accept(notice.message);
            }
        }
    }

    private void scheduleRetry() {
        retryScheduled = true;
        loop.schedule(() -> {
            retryScheduled = false;
            sendNext();
        }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Puts the notices of the current request back at the head of the queue, in their order. */
    private void requeueInFlight() {
        for (int i = inFlight.size() - 1; i >= 0; i--) {
            queue.addFirst(inFlight.get(i));
        }
        inFlight = List.of();
    }

    private byte[] encodeLine(AcceptedMessage message) {
        AcceptedMessage.Notice notice = message.pendingNotice.orElseThrow();
        ObjectNode line = json.createObjectNode().put("ref", message.id)
                .put("result", notice.rejected() ? "bounced" : "dead");
        if (notice.rejected() && notice.retryAfterMs() > 0) {
            line.put("wait_ms", (long) Math.ceil(notice.retryAfterMs()));
        }
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
