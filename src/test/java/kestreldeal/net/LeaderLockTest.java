package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LeaderLockTest {
    @TempDir
    private Path folder;

    @Test
    void oneHoldsItUntilItIsReleased() throws Exception {
        LeaderLock first = new LeaderLock(folder);
        LeaderLock second = new LeaderLock(folder);
        assertTrue(first.take());
        assertTrue(first.take(), "acquiring it again does no harm");
        assertFalse(second.take());
        first.release();
        first.release();
        assertTrue(second.take());
        assertFalse(first.take());
        second.release();
    }
}
