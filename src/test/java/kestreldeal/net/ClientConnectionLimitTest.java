package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ClientConnectionLimitTest {
    private static final int CONFIGURED = 100;

    private final ClientConnectionLimit limit = new ClientConnectionLimit(CONFIGURED);

    private int limitAfter(long seconds) {
        return limit.current(TimeUnit.SECONDS.toNanos(seconds));
    }

    @Test
    void shortageLowersTheLimitForAWhile() {
        assertEquals(CONFIGURED, limitAfter(0));
        limit.lower(90, 0);
        assertEquals(58, limitAfter(9));
        assertEquals(66, limitAfter(10));
        assertEquals(74, limitAfter(20));
        assertEquals(CONFIGURED, limitAfter(3600));
    }

    @Test
    void limitStaysBetweenItsMinimumAndTheConfiguredValue() {
        limit.lower(10, 0);
        assertEquals(ClientConnectionLimit.SPARE_DESCRIPTORS, limitAfter(0));
        limit.lower(1000, 0);
        assertEquals(CONFIGURED, limitAfter(0));
    }

    @Test
    void anotherProcessSharingTheDescriptorsHalvesTheLimit() {
        limit.setConfigured(CONFIGURED / 2);
        limit.lower(90, 0);
        assertEquals(CONFIGURED / 2, limitAfter(3600));
        limit.setConfigured(CONFIGURED);
        assertEquals(CONFIGURED, limitAfter(3600));
    }
}
