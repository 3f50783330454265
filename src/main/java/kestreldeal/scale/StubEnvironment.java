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
    static final int DESTINATIONS = 50;
    /** The only endpoint of this destination is draining, so messages to it stay pending. */
    static final int DRAINING = 1_000_000;
    private static final int LONGEST = 1 << 20;
    private static final double ENDPOINTS_EACH = 2;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Channel agent;
    private final Channel endpoints;
    private final long answerMs;
    final AtomicLong agentBytes = new AtomicLong();
    final AtomicLong delivered = new AtomicLong();
    final AtomicLong notices = new AtomicLong();

    /** Guarded by this object: both loops may serve the agent's connections. */
    private final TreeMap<Long, String> changes = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private List<String> list = List.of();
    private long generation = 1;
    /** Generation of the last replacement of the full list. */
    private long replaced = 1;

    private record Watch(ChannelHandlerContext ctx, long after) {
    }

    /** Starts both servers; endpoints respond after the given delay. */
    StubEnvironment(long answerMs) {
        this.answerMs = answerMs;
        agent = listen(true);
        endpoints = listen(false);
    }

    String agentAddress() {
        return hostPort(agent);
    }

    private static String hostPort(Channel channel) {
        return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private Channel listen(boolean isAgent) {
        return new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (isAgent) {
                            channel.pipeline().addLast(new ByteCounter());
                        }
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LONGEST),
                                isAgent ? new AgentHandler() : new EndpointHandler());
                    }
                }).bind("127.0.0.1", 0).syncUninterruptibly().channel();
    }

    // ---- the list ----

    /** Replaces the list with one of the given number of endpoints, two for each destination. */
    synchronized void replaceList(int size) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            entries.add(entry(i, "SERVING", 10));
        }
        entries.set(size - 1, entry(size - 1, (long) DRAINING, "DRAINING", 10));
        list = entries;
        changes.clear();
        replaced = ++generation;
        answerWatches();
    }

    /** Changes the weight of one entry. */
    synchronized void change(int index, int weight) {
        String changed = entry(index, "SERVING", weight);
        changes.put(++generation, changed);
        answerWatches();
    }

    private String entry(int index, String lifecycle, int weight) {
        return entry(index, (long) (index / ENDPOINTS_EACH), lifecycle, weight);
    }

    /** An entry of about 190 bytes, as in a real list. */
    private String entry(int index, long destination, String lifecycle, int weight) {
        return String.format(Locale.ROOT, "{\"instanceId\":\"s-%08x\",\"hostPort\":\"%s\",\"zone\":\"a\","
                + "\"machineType\":\"m\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%d.0,\"startedAtMs\":0}", index,
                hostPort(endpoints), destination, lifecycle, weight);
    }

    private void answerWatches() {
        List<Watch> due = new ArrayList<>(watches);
        watches.clear();
        due.forEach(watch -> answerSince(watch.ctx(), watch.after()));
    }

    /** Responds with the full list if the requester's generation is older than it, else with the changes since. */
    private void answerSince(ChannelHandlerContext ctx, long after) {
        boolean whole = after < replaced;
        List<String> entries = whole ? list : new ArrayList<>(changes.tailMap(after, false).values());
        answer(ctx, HttpResponseStatus.OK, "{\"generation\":" + generation + ",\"reset\":" + whole
                + ",\"instances\":[" + String.join(",", entries) + "]}");
    }

    private synchronized void watch(ChannelHandlerContext ctx, long after, long waitMs) {
        Watch watch = new Watch(ctx, after);
        if (after < generation || waitMs == 0) {
            answerSince(ctx, after);
            return;
        }
        watches.add(watch);
        ctx.executor().schedule(() -> {
            synchronized (StubEnvironment.this) {
                if (watches.remove(watch)) {
                    answerSince(ctx, after);
                }
            }
        }, waitMs, TimeUnit.MILLISECONDS);
    }

    private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
        ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        ctx.writeAndFlush(answer);
    }

    // ---- connections ----

    /** Counts the bytes on the agent's connections in both directions. */
    private final class ByteCounter extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            agentBytes.addAndGet(((ByteBuf) read).readableBytes());
            ctx.fireChannelRead(read);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object written, ChannelPromise promise) {
            if (written instanceof ByteBuf bytes) {
                agentBytes.addAndGet(bytes.readableBytes());
            }
            ctx.write(written, promise);
        }
    }

    private final class AgentHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.method().equals(HttpMethod.POST)) {
                notices.addAndGet(request.content().toString(StandardCharsets.UTF_8).lines().count());
                answer(ctx, HttpResponseStatus.NO_CONTENT, "");
                return;
            }
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            watch(ctx, number(query, "after"), number(query, "wait_ms"));
        }

        /** A parameter, or 0 if absent: the first request has none and gets the full list immediately. */
        private long number(QueryStringDecoder query, String name) {
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
                answer(ctx, HttpResponseStatus.OK, "{}");
            }, answerMs, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        agent.close().syncUninterruptibly();
        endpoints.close().syncUninterruptibly();
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
