package kestreldeal.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Checks whether this process can open further file descriptors. The exception of a failed accept does not tell, except
 * by its message, whether the process has reached its limit, the machine is short of descriptors for a moment, or
 * something else is wrong.
 */
interface FileDescriptors {
    /** Whether this process can open at least one more. */
    boolean available();

    /** Checks by opening a file that always exists. */
    static FileDescriptors system() {
        return () -> {
            try (FileChannel opened = FileChannel.open(Path.of("/dev/null"), StandardOpenOption.READ)) {
                return opened.isOpen();
            } catch (IOException e) {
                return false;
            }
        };
    }
}
