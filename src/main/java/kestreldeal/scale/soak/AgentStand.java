package kestreldeal.scale.soak;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A stand-in for the platform's agent on one sender's machine: the list, watches and notices. */
final class AgentStand {
    private static final JsonMapper JSON = JsonMapper.builder().build();
    /** From word of another address until the old one ends its connections. */
    private static final long MOVED_MS = 1500;

    private final EventLoop loop;
    private final Roster roster;
    private final Ledger ledger;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Channel listening;
    private boolean silent;
    private long listBytes;

    private record Watch(Channel channel, long after) {
    }

    /** One that listens; not made on the loop. */
    AgentStand(EventLoop loop, Roster roster, Ledger ledger) {
        this.loop = loop;
        this.roster = roster;
        this.ledger = ledger;
        this.listening = Http.listen(loop, 0, Asked::new).syncUninterruptibly().channel();
        roster.onChange(this::tell);
    }

    String hostPort() {
        return "127.0.0.1:" + Http.port(listening);
    }

    /** Bytes of lists that it has sent. */
    long listBytes() {
        return listBytes;
    }

    /** Discovery is down for it, or is back: then it answers what is asked from then on, and watches. */
    void silent(boolean now) {
        silent = now;
        if (!silent) {
            tell();
        }
    }

    /** Another address takes its place. */
    void moves() {
        listening.close();
        loop.schedule(() -> List.copyOf(connections).forEach(Channel::close), MOVED_MS, TimeUnit.MILLISECONDS);
    }

    private void tell() {
        if (silent) {
            return;
        }
        List<Watch> due = watches.stream().filter(watch -> watch.after < roster.generation()).toList();
        watches.removeAll(due);
        due.forEach(watch -> send(watch.channel, roster.since(watch.after)));
    }

    private void send(Channel to, String list) {
        listBytes += list.length();
        Http.answer(to, HttpResponseStatus.OK, list);
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            watches.removeIf(watch -> watch.channel == ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            Channel channel = ctx.channel();
            if (request.method().equals(HttpMethod.POST)) {
                for (String line : request.content().toString(StandardCharsets.UTF_8).split("\n")) {
                    ledger.noticed(JSON.readTree(line).path("ref").asText());
                }
                Http.answer(channel, HttpResponseStatus.NO_CONTENT, "");
                return;
            }
            if (silent) {
                return;
            }
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.parameters().containsKey("after")) {
                send(channel, roster.whole());
                return;
            }
            long after = Long.parseLong(query.parameters().get("after").get(0));
            long waitMs = Long.parseLong(query.parameters().get("wait_ms").get(0));
            if (after < roster.generation() || waitMs == 0) {
                send(channel, roster.since(after));
                return;
            }
            Watch watch = new Watch(channel, after);
            watches.add(watch);
            loop.schedule(() -> {
                if (!silent && watches.remove(watch)) {
                    send(channel, roster.since(after));
                }
            }, waitMs, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Lets go of its port and connections. */
    void close() {
        listening.close();
        List.copyOf(connections).forEach(Channel::close);
    }
}
