package kestreldeal.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * The journal's file: records are appended, or all of it is replaced at one moment. Any call may fail. An append that
 * failed may have left bytes behind the records; they are covered before anything else is appended, since they would
 * hide what lies behind them from the next reader, or, if the record is whole there, be taken for one that was written.
 */
final class JournalFile implements AutoCloseable {
    private static final int READ_BYTES = 1 << 16;

    private final Path file;
    private final Path next;
    private final Journal.FileOpener files;
    private FileChannel channel;
    /** Where the next record goes: behind the last one that was written whole. */
    private long size;
    /** Up to here a failed append may have left bytes; not above the size if none has. */
    private long tornUntil;

    /** Opens the file, and creates it if there is none; a copy that was never put in its place is removed. */
    JournalFile(Path folder, Journal.FileOpener files) throws IOException {
        this.file = folder.resolve("journal");
        this.next = folder.resolve("journal.next");
        this.files = files;
        Files.deleteIfExists(next);
        channel = files.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    /** All that is in the file. */
    byte[] read() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream((int) channel.size());
        ByteBuffer piece = ByteBuffer.allocate(READ_BYTES);
        for (long at = 0; channel.read(piece, at) > 0; at = all.size()) {
            all.write(piece.array(), 0, piece.position());
            piece.clear();
        }
        return all.toByteArray();
    }

    /** Of what was read so much is whole records; what lies behind them is torn. */
    void begin(long wholeBytes, long readBytes) {
        size = wholeBytes;
        tornUntil = readBytes;
    }

    /** Whether it has not been closed here. */
    boolean isOpen() {
        return channel.isOpen();
    }

    /** Bytes of the records in it. */
    long size() {
        return size;
    }

    /** Whether there may be bytes behind the records: {@link #mend} has to come before the next append. */
    boolean isTorn() {
        return tornUntil > size;
    }

    /** Takes away what lies behind the records, or covers it. */
    void mend() throws IOException {
        if (!isTorn()) {
            return;
        }
        try {
            channel.truncate(size);
        } catch (ClosedChannelException e) {
            throw e;
        } catch (IOException e) {
            writeAll(channel, new byte[(int) (tornUntil - size)], size);
        }
        tornUntil = size;
    }

    /** Appends a record, whole or, as far as any later reader can tell, not at all. */
    void append(byte[] record) throws IOException {
        mend();
        try {
            writeAll(channel, record, size);
        } catch (IOException e) {
            tornUntil = size + record.length;
            throw e;
        }
        size += record.length;
        tornUntil = size;
    }

    /** Puts this in the place of all that is in the file. If it fails, the file is as it was. */
    void replace(byte[] content) throws IOException {
        if (!channel.isOpen()) {
            // The file may be another process's by now.
            throw new ClosedChannelException();
        }
        FileChannel fresh = files.open(next, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        try {
            writeAll(fresh, content, 0);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            close(fresh);
            Files.deleteIfExists(next);
            throw e;
        }
        FileChannel old = channel;
        channel = fresh;
        size = content.length;
        tornUntil = size;
        // It must not fail the step: the new file is in place, and all goes there from here on.
        close(old);
    }

    private static void writeAll(FileChannel to, byte[] bytes, long position) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            to.write(buffer, position + buffer.position());
        }
    }

    private static void close(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            Log.write("closing the journal: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        close(channel);
    }
}
