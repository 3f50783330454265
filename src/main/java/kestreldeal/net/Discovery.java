package kestreldeal.net;

import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the list of endpoints up to date: first from the configuration, then from the agent, which sends the full list
 * and after that its changes by long polling. The sender never waits for a newer list: while the agent does not
 * respond, the last one stays in force.
 */
final class Discovery {
    /** Wait time of a long poll. It is short, as a change counts as notified 2 s after the end of this wait. */
    static final long LONG_POLL_WAIT_MS = 3000;
    /**
     * Wait time of the first poll after a failure, which asks for the current state. A long poll that is sent during an
     * outage of the agent may stay without a response when the outage is over, while every change that the agent got at
     * its return counts as notified.
     */
    static final long RECOVERY_POLL_WAIT_MS = 0;
    /** Time limit after the wait for a response to begin; without one the connection is cut or the agent is down. */
    static final long RESPONSE_TIMEOUT_MS = 500;
    /** Delay before a retry. A watch continues if its next request comes within 200 ms. */
    static final long RETRY_DELAY_MS = 100;

    /**
     * An entry of the list, with the platform's names. A removed endpoint appears only in a list of changes. An entry
     * whose address is missing or invalid counts as not serving.
     */
    record Entry(String id, Optional<InetSocketAddress> address, String zone, String kind, long destination,
                 boolean serving, double listedRate, boolean removed) {
    }

    /**
     * Receives each list while it is read: its start, its entries in batches, and its end. Each entry is the latest
     * state of its endpoint and applies at once, also if the rest of the response is lost; reading it again does no
     * harm. Which endpoints a list does not name is known only at its end.
     */
    interface UpdateListener {
        void updateStarted();

        void entriesRead(List<Entry> entries);

        /** The list has been read to its end; a full list names all endpoints that exist. */
        void updateCompleted(boolean fullList);

        /** The first request to the agent has been answered or has failed. */
        void firstRequestEnded();
    }

    private final EventLoop loop;
    private AgentClient agent;
    private final UpdateListener listener;
    private long generation = -1;
    private boolean unresponsive;
    private boolean firstRequestEnded;
    /** The scheduled retry, if any. */
    private Optional<Future<?>> retryTimer = Optional.empty();

    Discovery(EventLoop loop, AgentClient agent, UpdateListener listener) {
        this.loop = loop;
        this.agent = agent;
        this.listener = listener;
    }

    /** Reads the list in the configuration, if there is one, and starts to request the list from the agent. */
    void start(Path configuration) {
        listener.updateStarted();
        try {
            if (EndpointListParser.readFile(configuration, Config.KNOWN_ENDPOINTS_FIELD, this::entriesRead)) {
                listener.updateCompleted(true);
            }
        } catch (IOException e) {
            Log.write("the endpoint list in the configuration can't be read: " + e.getMessage());
        }
        request("/v1/servers", 0);
    }

    /**
     * Switches to another agent and drops the request to the old one. Each agent numbers its generations on its own, so
     * the first request is for the full list.
     */
    void switchAgent(AgentClient newAgent) {
        agent.close();
        retryTimer.ifPresent(timer -> timer.cancel(false));
        agent = newAgent;
        generation = -1;
        requestNext();
    }

    private void request(String path, long waitMs) {
        agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), waitMs + RESPONSE_TIMEOUT_MS,
                new ListResponse());
    }

    private void requestEnded(Optional<String> error) {
        boolean succeeded = error.isEmpty();
        if (unresponsive == succeeded) {
            unresponsive = !succeeded;
            Log.write("endpoint discovery: "
                    + error.map(reason -> reason + "; the last endpoint list stays in force")
                            .orElse("the agent responds again"));
        }
        if (!firstRequestEnded) {
            firstRequestEnded = true;
            listener.firstRequestEnded();
        }
        if (succeeded) {
            requestNext();
        } else {
            retryTimer = Optional.of(loop.schedule(this::requestNext, RETRY_DELAY_MS, TimeUnit.MILLISECONDS));
        }
    }

    /**
     * Requests the changes since the last generation, or the full list until this agent has sent one: a generation from
     * elsewhere may be numbered differently.
     */
    private void requestNext() {
        if (generation < 0) {
            request("/v1/servers", 0);
        } else {
            long waitMs = unresponsive ? RECOVERY_POLL_WAIT_MS : LONG_POLL_WAIT_MS;
            request("/v1/servers?after=" + generation + "&wait_ms=" + waitMs, waitMs);
        }
    }

    /**
     * Reads one response as it arrives. Its generation is applied only at its end, so a list that breaks off is
     * requested again.
     */
    private final class ListResponse implements AgentClient.ResponseHandler {
        private int status;
        private Optional<EndpointListParser> parser = Optional.empty();

        @Override
        public void responseStarted(int statusCode) {
            status = statusCode;
            if (statusCode == 200) {
                parser = Optional.of(new EndpointListParser(Discovery.this::entriesRead));
                listener.updateStarted();
            }
        }

        @Override
        public Optional<String> bodyChunk(ByteBuf content) {
            return parser.flatMap(listParser -> errorOf(() -> listParser.feed(content)));
        }

        @Override
        public void responseEnded(Optional<String> error) {
            requestEnded(error.or(
                    () -> parser.isEmpty() ? Optional.of("HTTP status " + status) : finish(parser.get())));
        }

        private Optional<String> finish(EndpointListParser listParser) {
            return errorOf(listParser::end).or(() -> {
                if (!listParser.isComplete()) {
                    return Optional.of("response is not an endpoint list");
                }
                generation = listParser.generation();
                listener.updateCompleted(listParser.isFullList());
                return Optional.empty();
            });
        }
    }

    private interface ReadStep {
        void run() throws IOException;
    }

    /** Runs a step of reading and returns what is wrong with the response, if anything. */
    private static Optional<String> errorOf(ReadStep step) {
        try {
            step.run();
            return Optional.empty();
        } catch (StreamConstraintsException e) {
            return Optional.of("response exceeds a size limit: " + e.getOriginalMessage());
        } catch (IOException e) {
            return Optional.of("response can't be parsed");
        }
    }

    private void entriesRead(List<Entry> entries) {
        List<String> withoutAddress = entries.stream().filter(e -> e.address().isEmpty()).map(Entry::id).toList();
        if (!withoutAddress.isEmpty()) {
            Log.write("the endpoint list has no valid address for " + withoutAddress
                    + "; these endpoints get no new messages");
        }
        listener.entriesRead(entries);
    }
}
