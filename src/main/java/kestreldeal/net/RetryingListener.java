package kestreldeal.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Listens at an address, and tries again for as long as that fails: the address may still be another process's, and the
 * machine may have no socket for a moment. Neither ends a sender. All calls are the loop's, but for {@link #bound}.
 */
final class RetryingListener {
    private static final long AGAIN_MS = 50;
    /** Attempts from one line in the log to the next. */
    private static final int ATTEMPTS_A_LINE = 100;

    private final EventLoop loop;
    private final String forWhom;
    private final Supplier<ChannelFuture> bind;
    private final CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
    private Channel channel;
    private int attempts;
    private boolean closed;

    /** One that listens in this way; the log names for whom. */
    RetryingListener(EventLoop loop, String forWhom, Supplier<ChannelFuture> bind) {
        this.loop = loop;
        this.forWhom = forWhom;
        this.bind = bind;
    }

    /** Begins to listen, now or as soon as that is possible. */
    void start() {
        if (closed) {
            return;
        }
        ChannelFuture binding = bind.get();
        // Without a channel there is no loop of its own, and the future is told on another thread.
        binding.addListener(f -> loop.execute(() -> tried(binding)));
    }

    private void tried(ChannelFuture binding) {
        if (!binding.isSuccess()) {
            if (attempts++ % ATTEMPTS_A_LINE == 0) {
                Log.write("can't listen for " + forWhom + ": " + binding.cause().getMessage());
            }
            loop.schedule(this::start, AGAIN_MS, TimeUnit.MILLISECONDS);
        } else if (closed) {
            binding.channel().close();
        } else {
            channel = binding.channel();
            bound.complete((InetSocketAddress) channel.localAddress());
        }
    }

    /** Where it listens, once it does. */
    CompletableFuture<InetSocketAddress> bound() {
        return bound;
    }

    /** Listens no more. */
    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }
}
