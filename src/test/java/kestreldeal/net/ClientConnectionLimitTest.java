package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ClientConnectionLimitTest {
    private static final int CONFIGURED = 100;

    private final ClientConnectionLimit bound = new ClientConnectionLimit(CONFIGURED);

    private int mostAfter(long seconds) {
        return bound.current(TimeUnit.SECONDS.toNanos(seconds));
    }

    @Test
    void aShortageLowersItForAWhile() {
        assertEquals(CONFIGURED, mostAfter(0));
        bound.lower(90, 0);
        assertEquals(58, mostAfter(9));
        assertEquals(66, mostAfter(10));
        assertEquals(74, mostAfter(20));
        assertEquals(CONFIGURED, mostAfter(3600));
    }

    @Test
    void someMayAlwaysStayAndNeverMoreThanAreAllowed() {
        bound.lower(10, 0);
        assertEquals(ClientConnectionLimit.SPARE_DESCRIPTORS, mostAfter(0));
        bound.lower(1000, 0);
        assertEquals(CONFIGURED, mostAfter(0));
    }

    @Test
    void anotherProcessOnTheSameDescriptorsHalvesIt() {
        bound.setConfigured(CONFIGURED / 2);
        bound.lower(90, 0);
        assertEquals(CONFIGURED / 2, mostAfter(3600));
        bound.setConfigured(CONFIGURED);
        assertEquals(CONFIGURED, mostAfter(3600));
    }
}
