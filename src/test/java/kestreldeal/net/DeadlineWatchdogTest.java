package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DeadlineWatchdogTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ManualClock clock = new ManualClock();
    private final List<AcceptedMessage> pending = new ArrayList<>();
    private final List<String> overdue = new ArrayList<>();

    private AcceptedMessage message(String id, long timeLeftMs) {
        return AcceptedMessage.withTimeLeft(1, id, "order", "", Optional.empty(), 7, timeLeftMs, new byte[0], clock);
    }

    private void advance(long ms) {
        clock.advance(ms);
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    /** Two timers for one time made both checks at once, so a standstill of the event loop ended a message. */
    @Test
    void checksOfAnOverdueMessageAreApartAfterAnEarlierMessageToo() {
        channel.freezeTime();
        DeadlineWatchdog watchdog = new DeadlineWatchdog(channel.eventLoop(), clock, () -> pending,
                message -> overdue.add(message.id));
        AcceptedMessage later = message("later", 1000);
        pending.add(later);
        watchdog.messageAdded(later);
        watchdog.messageAdded(message("earlier, delivered", 500));
        advance(500 + DeadlineWatchdog.GRACE_MS);
        assertEquals(List.of(), overdue);
        advance(500);
        assertEquals(List.of(), overdue, "found at one check only");
        advance(DeadlineWatchdog.MIN_INTERVAL_MS);
        assertEquals(List.of("later"), overdue);
    }
}
