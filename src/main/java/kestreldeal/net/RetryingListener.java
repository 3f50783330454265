package kestreldeal.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Listens at an address, retrying until the bind succeeds: another process may still use the address, and the machine
 * may be short of sockets for a moment. Neither must end a sender. All methods except {@link #boundAddress} must be
 * called on the event loop.
 */
final class RetryingListener {
    private static final long RETRY_INTERVAL_MS = 50;
    /** Only the first of this many failed attempts is logged. */
    private static final int ATTEMPTS_PER_LOG_LINE = 100;

    private final EventLoop loop;
    private final String purpose;
    private final Supplier<ChannelFuture> bind;
    private final CompletableFuture<InetSocketAddress> boundAddress = new CompletableFuture<>();
    private Channel channel;
    private int failedAttempts;
    private boolean closed;

    /** Creates a listener that binds by {@code bind}; log lines say for whom it listens. */
    RetryingListener(EventLoop loop, String purpose, Supplier<ChannelFuture> bind) {
        this.loop = loop;
        this.purpose = purpose;
        this.bind = bind;
    }

    /** Starts to listen, at once or as soon as the address can be bound. */
    void start() {
        if (closed) {
            return;
        }
        ChannelFuture binding = bind.get();
        // If no channel could be created, the listener of the future runs on a thread other than the event loop.
        binding.addListener(f -> loop.execute(() -> bindCompleted(binding)));
    }

    private void bindCompleted(ChannelFuture binding) {
        if (!binding.isSuccess()) {
            if (failedAttempts++ % ATTEMPTS_PER_LOG_LINE == 0) {
                Log.write("can't listen for " + purpose + " yet, retrying: " + binding.cause().getMessage());
            }
            loop.schedule(this::start, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else if (closed) {
            binding.channel().close();
        } else {
            channel = binding.channel();
            boundAddress.complete((InetSocketAddress) channel.localAddress());
        }
    }

    /** Completes with the bound address. */
    CompletableFuture<InetSocketAddress> boundAddress() {
        return boundAddress;
    }

    /** Stops listening. */
    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }
}
