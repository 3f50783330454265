package kestreldeal.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Whether this process can still open anything. An accept that fails says only by a text for people whether the process
 * has no descriptor left, or the machine has none for a moment, or something else is wrong.
 */
interface FileDescriptors {
    /** Whether there is one left for this process. */
    boolean anyLeft();

    /** Asks the system, by opening what is always there. */
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
