package kestreldeal.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file lock that elects the leader: the one process, of those that share a sender's folder, that makes decisions for
 * the sender and writes its journal. The operating system releases it when the process ends.
 */
final class LeaderLock {
    private final Path file;
    private FileChannel channel;

    LeaderLock(Path folder) {
        this.file = folder.resolve("helm");
    }

    /** Acquires the lock unless another process holds it; returns whether this process holds it now. */
    boolean tryAcquire() throws IOException {
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
            // Another sender within this process holds it.
            return null;
        }
    }

    /** Releases the lock, if it is held. */
    void release() {
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            Log.write("error on closing the file of the leader lock: " + e.getMessage());
        }
        channel = null;
    }
}
