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
    void onlyOneHoldsTheLockUntilItIsReleased() throws Exception {
        LeaderLock first = new LeaderLock(folder);
        LeaderLock second = new LeaderLock(folder);
        assertTrue(first.tryAcquire());
        assertTrue(first.tryAcquire(), "acquiring it again does no harm");
        assertFalse(second.tryAcquire());
        first.release();
        first.release();
        assertTrue(second.tryAcquire());
        assertFalse(first.tryAcquire());
        second.release();
    }
}
