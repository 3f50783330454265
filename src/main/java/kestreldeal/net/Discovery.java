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
 * The list of endpoints: what the configuration knew, then the whole list, then a watch on what changes. It
 * is never waited for; while discovery is silent the last list stands.
 */
final class Discovery {
    /** A change counts as told 2 s after the end of a call's wait, so the wait is short. */
    static final long WAIT_MS = 3000;
    /**
     * One that was silent is asked for what it has now: a watch that is opened into an outage may stay silent when that
     * is over, while all that the agent got at its return counts as told.
     */
    static final long NO_WAIT_MS = 0;
    /** An answer that has not begun so late will not come: the connection was cut, or discovery is down. */
    static final long SILENT_MS = 500;
    /** A watch goes on if its next call comes within 200 ms. */
    static final long PAUSE_MS = 100;

    /**
     * One entry of the list, by the platform's names; one that is gone comes among changes only. One whose address can't
     * be read takes nothing new, whatever else it says.
     */
    record Entry(String id, Optional<InetSocketAddress> address, String zone, String kind, long destination,
                 boolean serving, double weight, boolean gone) {
    }

    /**
     * Told of each answer as it is read: that it begins, what it names, in portions, and that it was a list and has
     * been read to its end. Each entry is the newest word on its endpoint, and binds alone; so one that is read of an
     * answer that then breaks off stands, and reading it again does no harm. What a list does not name is only known
     * at its end.
     */
    interface UpdateListener {
        void begins();

        void named(List<Entry> entries);

        /** The list is in force; a whole one names all that there are. */
        void ends(boolean whole);

        /** The first question has its answer, or has waited for it in vain. */
        void asked();
    }

    private final EventLoop loop;
    private AgentClient agent;
    private final UpdateListener lists;
    private long generation = -1;
    private boolean silent;
    private boolean asked;
    /** The pause before the next question, if there is one. */
    private Optional<Future<?>> pause = Optional.empty();

    Discovery(EventLoop loop, AgentClient agent, UpdateListener lists) {
        this.loop = loop;
        this.agent = agent;
        this.lists = lists;
    }

    /** Takes over what this configuration knew, if anything, and asks for the rest from now on. */
    void start(Path configuration) {
        lists.begins();
        try {
            if (EndpointListParser.read(configuration, Config.KNOWN_ENDPOINTS_FIELD, this::named)) {
                lists.ends(true);
            }
        } catch (IOException e) {
            Log.write("the configuration's list can't be read: " + e.getMessage());
        }
        ask("/v1/servers", 0);
    }

    /**
     * Asks another agent from now on. Its generations are of another reckoning, so it begins with the whole
     * list; what the old one might still say is not waited for.
     */
    void moveTo(AgentClient other) {
        agent.close();
        pause.ifPresent(p -> p.cancel(false));
        agent = other;
        generation = -1;
        watch();
    }

    private void ask(String path, long waitMs) {
        agent.ask(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), waitMs + SILENT_MS,
                new Answer());
    }

    private void answered(Optional<String> fault) {
        boolean read = fault.isEmpty();
        if (silent == read) {
            silent = !read;
            Log.write("discovery " + fault.map(f -> f + "; the last list stands").orElse("answers again"));
        }
        if (!asked) {
            asked = true;
            lists.asked();
        }
        if (read) {
            watch();
        } else {
            pause = Optional.of(loop.schedule(this::watch, PAUSE_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** Before the first answer the whole list is asked for: what was known may be of another reckoning. */
    private void watch() {
        if (generation < 0) {
            ask("/v1/servers", 0);
        } else {
            long waitMs = silent ? NO_WAIT_MS : WAIT_MS;
            ask("/v1/servers?after=" + generation + "&wait_ms=" + waitMs, waitMs);
        }
    }

    /** One answer, read as it comes. Its generation is taken over at its end, so what breaks off is asked for again. */
    private final class Answer implements AgentClient.ResponseHandler {
        private int status;
        private Optional<EndpointListParser> reader = Optional.empty();

        @Override
        public void begins(int code) {
            status = code;
            if (code == 200) {
                reader = Optional.of(new EndpointListParser(Discovery.this::named));
                lists.begins();
            }
        }

        @Override
        public Optional<String> piece(ByteBuf content) {
            return reader.flatMap(list -> fault(() -> list.feed(content)));
        }

        @Override
        public void ends(Optional<String> broken) {
            answered(broken.or(() -> reader.isEmpty() ? Optional.of("answers " + status) : read(reader.get())));
        }

        private Optional<String> read(EndpointListParser list) {
            return fault(list::end).or(() -> {
                if (!list.isList()) {
                    return Optional.of("answers what is no list");
                }
                generation = list.generation();
                lists.ends(list.reset());
                return Optional.empty();
            });
        }
    }

    private interface Reading {
        void go() throws IOException;
    }

    /** What is wrong with what is read here. */
    private static Optional<String> fault(Reading reading) {
        try {
            reading.go();
            return Optional.empty();
        } catch (StreamConstraintsException e) {
            return Optional.of("answers what is over a bound: " + e.getOriginalMessage());
        } catch (IOException e) {
            return Optional.of("answers what can't be read");
        }
    }

    private void named(List<Entry> entries) {
        List<String> lost = entries.stream().filter(e -> e.address().isEmpty()).map(Entry::id).toList();
        if (!lost.isEmpty()) {
            Log.write("the list has no address that can be read for " + lost + "; they get nothing new");
        }
        lists.named(entries);
    }
}
