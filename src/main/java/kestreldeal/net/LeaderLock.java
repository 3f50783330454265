package kestreldeal.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The right to decide for a sender and to write its journal. Of the processes that share its folder one holds it,
 * by a lock that ends with the process at the latest.
 */
final class LeaderLock {
    private final Path file;
    private FileChannel channel;

    LeaderLock(Path folder) {
        this.file = folder.resolve("helm");
    }

    /** Takes the helm unless another process holds it; taking it again does no harm. */
    boolean take() throws IOException {
        if (channel != null) {
            return true;
        }
        FileChannel opened = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (lock(opened) == null) {
            opened.close();
            return false;
        }
        channel = opened;
        return true;
    }

    private static FileLock lock(FileChannel opened) throws IOException {
        try {
            return opened.tryLock();
        } catch (OverlappingFileLockException e) {
            // Another sender in this process holds it.
            return null;
        }
    }

    /** Leaves the helm to whoever takes it next. */
    void release() {
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            Log.write("the helm's lock can't be closed: " + e.getMessage());
        }
        channel = null;
    }
}
