package kestreldeal.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stub servers for the environment of one sender, on two loopback addresses: the agent, which serves the list of
 * endpoints, and all endpoints. The agent responds immediately, the endpoints after a fixed delay.
 */
final class StubEnvironment implements AutoCloseable {
    /** Destinations of a list of 100 endpoints; clients send messages to all but the last. */
    static final int DESTINATION_COUNT = 50;
    /** The only endpoint of this destination is draining, so messages to it stay pending. */
    static final int DRAINING_DESTINATION = 1_000_000;
    private static final int MAX_REQUEST_BYTES = 1 << 20;
    private static final double ENDPOINTS_PER_DESTINATION = 2;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Channel agentServer;
    private final Channel endpointServer;
    private final long responseDelayMs;
    final AtomicLong agentBytes = new AtomicLong();
    final AtomicLong delivered = new AtomicLong();
    final AtomicLong notices = new AtomicLong();

    /** The changes since the full list. Guarded by this object: both event loops can serve agent connections. */
    private final TreeMap<Long, String> changesByGeneration = new TreeMap<>();
    private final List<Watch> pendingWatches = new ArrayList<>();
    private List<String> listEntries = List.of();
    private long generation = 1;
    /** Generation of the last replacement of the full list. */
    private long fullListGeneration = 1;

    private record Watch(ChannelHandlerContext ctx, long afterGeneration) {
    }

    /** Starts both servers; endpoints respond after the given delay. */
    StubEnvironment(long responseDelayMs) {
        this.responseDelayMs = responseDelayMs;
        agentServer = listen(true);
        endpointServer = listen(false);
    }

    String agentAddress() {
        return hostPort(agentServer);
    }

    private static String hostPort(Channel channel) {
        return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private Channel listen(boolean isAgent) {
        return new ServerBootstrap().group(eventLoops).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (isAgent) {
                            channel.pipeline().addLast(new ByteCounter());
                        }
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                isAgent ? new AgentHandler() : new EndpointHandler());
                    }
                }).bind("127.0.0.1", 0).syncUninterruptibly().channel();
    }

    // ---- the list ----

    /** Replaces the list with one of the given number of endpoints, two for each destination. */
    synchronized void replaceList(int endpointCount) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            entries.add(formatEntry(i, "SERVING", 10));
        }
        entries.set(endpointCount - 1, formatEntry(endpointCount - 1, (long) DRAINING_DESTINATION, "DRAINING", 10));
        listEntries = entries;
        changesByGeneration.clear();
        fullListGeneration = ++generation;
        respondToWatches();
    }

    /** Changes the weight of one entry. */
    synchronized void changeWeight(int index, int weight) {
        String changed = formatEntry(index, "SERVING", weight);
        changesByGeneration.put(++generation, changed);
        respondToWatches();
    }

    private String formatEntry(int index, String lifecycle, int weight) {
        return formatEntry(index, (long) (index / ENDPOINTS_PER_DESTINATION), lifecycle, weight);
    }

    /** An entry of about 190 bytes, as in a real list. */
    private String formatEntry(int index, long destination, String lifecycle, int weight) {
        return String.format(Locale.ROOT, "{\"instanceId\":\"s-%08x\",\"hostPort\":\"%s\",\"zone\":\"a\","
                + "\"machineType\":\"m\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%d.0,\"startedAtMs\":0}", index,
                hostPort(endpointServer), destination, lifecycle, weight);
    }

    private void respondToWatches() {
        List<Watch> answered = new ArrayList<>(pendingWatches);
        pendingWatches.clear();
        answered.forEach(watch -> respondWithUpdate(watch.ctx(), watch.afterGeneration()));
    }

    /** Responds with the full list if the requester's generation is older than it, else with the changes since. */
    private void respondWithUpdate(ChannelHandlerContext ctx, long afterGeneration) {
        boolean fullList = afterGeneration < fullListGeneration;
        List<String> entries = fullList ? listEntries
                : new ArrayList<>(changesByGeneration.tailMap(afterGeneration, false).values());
        respond(ctx, HttpResponseStatus.OK, "{\"generation\":" + generation + ",\"reset\":" + fullList
                + ",\"instances\":[" + String.join(",", entries) + "]}");
    }

    private synchronized void watch(ChannelHandlerContext ctx, long afterGeneration, long waitMs) {
        Watch watch = new Watch(ctx, afterGeneration);
        if (afterGeneration < generation || waitMs == 0) {
            respondWithUpdate(ctx, afterGeneration);
            return;
        }
        pendingWatches.add(watch);
        ctx.executor().schedule(() -> {
            synchronized (StubEnvironment.this) {
                if (pendingWatches.remove(watch)) {
                    respondWithUpdate(ctx, afterGeneration);
                }
            }
        }, waitMs, TimeUnit.MILLISECONDS);
    }

    private static void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
        ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        ctx.writeAndFlush(response);
    }

    // ---- connections ----

    /** Counts the bytes on the agent's connections in both directions. */
    private final class ByteCounter extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            agentBytes.addAndGet(((ByteBuf) message).readableBytes());
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                agentBytes.addAndGet(bytes.readableBytes());
            }
            ctx.write(message, promise);
        }
    }

    private final class AgentHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.method().equals(HttpMethod.POST)) {
                notices.addAndGet(request.content().toString(StandardCharsets.UTF_8).lines().count());
                respond(ctx, HttpResponseStatus.NO_CONTENT, "");
                return;
            }
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            watch(ctx, longParameter(query, "after"), longParameter(query, "wait_ms"));
        }

        /** A parameter, or 0 if absent: the first request has none and gets the full list immediately. */
        private long longParameter(QueryStringDecoder query, String name) {
            return query.parameters().containsKey(name) ? Long.parseLong(query.parameters().get(name).get(0)) : 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ctx.executor().schedule(() -> {
                delivered.incrementAndGet();
                respond(ctx, HttpResponseStatus.OK, "{}");
            }, responseDelayMs, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        agentServer.close().syncUninterruptibly();
        endpointServer.close().syncUninterruptibly();
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
