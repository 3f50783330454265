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

/**
 * A stub of the platform's agent on one sender's machine: serves the endpoint list, holds watch requests until the list
 * changes, and receives notices of final results.
 */
final class StubAgent {
    private static final JsonMapper JSON = JsonMapper.builder().build();
    /** Time from the reload that switches to another agent until this one closes its connections. */
    private static final long OLD_ADDRESS_GRACE_MS = 1500;

    private final EventLoop eventLoop;
    private final EndpointList endpointList;
    private final Ledger ledger;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Watch> pendingWatches = new ArrayList<>();
    private final Channel serverChannel;
    private boolean isDiscoveryDown;
    private long listBytes;

    /** A pending request for the changes after a generation of the list. */
    private record Watch(Channel channel, long afterGeneration) {
    }

    /** Waits until it listens, so it must not be called on the event loop. */
    StubAgent(EventLoop eventLoop, EndpointList endpointList, Ledger ledger) {
        this.eventLoop = eventLoop;
        this.endpointList = endpointList;
        this.ledger = ledger;
        this.serverChannel = StubHttpServer.listen(eventLoop, 0, RequestHandler::new).syncUninterruptibly().channel();
        endpointList.addChangeListener(this::respondToWatches);
    }

    String hostPort() {
        return "127.0.0.1:" + StubHttpServer.localPort(serverChannel);
    }

    /** Length of all lists that it has sent, in bytes. */
    long listBytes() {
        return listBytes;
    }

    /**
     * Makes discovery unavailable or available again. A request for the list that arrives while it is unavailable never
     * gets a response; a watch that was pending before gets one once discovery is available and the list has changed.
     */
    void setDiscoveryDown(boolean down) {
        isDiscoveryDown = down;
        if (!isDiscoveryDown) {
            respondToWatches();
        }
    }

    /** Stops listening, because another agent replaces this one, and closes its connections a little later. */
    void retire() {
        serverChannel.close();
        eventLoop.schedule(() -> List.copyOf(connections).forEach(Channel::close), OLD_ADDRESS_GRACE_MS,
                TimeUnit.MILLISECONDS);
    }

    private void respondToWatches() {
        if (isDiscoveryDown) {
            return;
        }
        List<Watch> outdated = pendingWatches.stream()
                .filter(watch -> watch.afterGeneration < endpointList.generation()).toList();
        pendingWatches.removeAll(outdated);
        outdated.forEach(watch -> sendList(watch.channel, endpointList.changesSince(watch.afterGeneration)));
    }

    private void sendList(Channel channel, String list) {
        listBytes += list.length();
        StubHttpServer.respond(channel, HttpResponseStatus.OK, list);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            pendingWatches.removeIf(watch -> watch.channel == ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            Channel channel = ctx.channel();
            if (request.method().equals(HttpMethod.POST)) {
                for (String line : request.content().toString(StandardCharsets.UTF_8).split("\n")) {
                    ledger.noticeReceived(JSON.readTree(line).path("ref").asText());
                }
                StubHttpServer.respond(channel, HttpResponseStatus.NO_CONTENT, "");
                return;
            }
            if (isDiscoveryDown) {
                return;
            }
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.parameters().containsKey("after")) {
                sendList(channel, endpointList.fullList());
                return;
            }
            long afterGeneration = Long.parseLong(query.parameters().get("after").get(0));
            long waitMs = Long.parseLong(query.parameters().get("wait_ms").get(0));
            if (afterGeneration < endpointList.generation() || waitMs == 0) {
                sendList(channel, endpointList.changesSince(afterGeneration));
                return;
            }
            Watch watch = new Watch(channel, afterGeneration);
            pendingWatches.add(watch);
            eventLoop.schedule(() -> {
                if (!isDiscoveryDown && pendingWatches.remove(watch)) {
                    sendList(channel, endpointList.changesSince(afterGeneration));
                }
            }, waitMs, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Stops listening, and closes all connections. */
    void close() {
        serverChannel.close();
        List.copyOf(connections).forEach(Channel::close);
    }
}
