package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A folder that fails for a while: what was taken on is still owed in the next life, and what is over is over. */
class JournalFailureTest {
    private static final long DISK = 200_000;
    /** Longer than any pause before the journal tries again. */
    private static final long LATER_MS = 60_000;

    @TempDir
    private Path folder;
    private final ManualClock clock = new ManualClock();
    private final FailingFiles files = new FailingFiles();

    private Journal failing() throws IOException {
        return new Journal(folder, DISK, 12, clock, files);
    }

    private Journal nextLife() throws IOException {
        return new Journal(folder, DISK, 12, clock, FileChannel::open);
    }

    private Held held(Journal journal) {
        long number = journal.nextNumber();
        return Held.withTimeLeft(number, "id-" + number, "order", "", Optional.of("key"), 7, 600_000, new byte[100],
                clock);
    }

    private Held take(Journal journal) throws IOException {
        Held held = held(journal);
        journal.taken(held);
        return held;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatIsTakenOnBehindATornWriteComesBack(boolean truncates) throws Exception {
        if (!truncates) {
            files.failTruncating();
        }
        try (Journal journal = failing()) {
            for (int i = 0; i < 5; i++) {
                take(journal);
            }
            files.fail(true);
            assertThrows(IOException.class, () -> take(journal));
            files.fail(false);
            clock.pass(LATER_MS);
            for (int i = 0; i < 20; i++) {
                take(journal);
            }
        }
        try (Journal journal = nextLife()) {
            assertEquals(25, journal.held().size());
        }
    }
}
