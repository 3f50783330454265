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
 * The journal's file: records are appended, or the whole content is replaced atomically. Any call may fail. A failed
 * append may leave bytes after the last complete record. They are removed or overwritten before the next append: a
 * reader would stop at a partial record and miss those after it, and would accept a complete one whose write was
 * reported as failed.
 */
final class JournalFile implements AutoCloseable {
    private static final int READ_CHUNK_BYTES = 1 << 16;

    private final Path file;
    private final Path replacementFile;
    private final Journal.FileOpener fileOpener;
    private FileChannel channel;
    /** End of the last record that was written completely, where the next one is appended. */
    private long size;
    /** End of the bytes that a failed append may have left; not beyond {@link #size} if there are none. */
    private long tornEnd;

    /** Opens the file, creating it if there is none; the leftover of an unfinished replacement is deleted. */
    JournalFile(Path folder, Journal.FileOpener fileOpener) throws IOException {
        this.file = folder.resolve("journal");
        this.replacementFile = folder.resolve("journal.next");
        this.fileOpener = fileOpener;
        Files.deleteIfExists(replacementFile);
        channel = fileOpener.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    /** Reads the whole file. */
    byte[] read() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream((int) channel.size());
        ByteBuffer chunk = ByteBuffer.allocate(READ_CHUNK_BYTES);
        for (long position = 0; channel.read(chunk, position) > 0; position = all.size()) {
            all.write(chunk.array(), 0, chunk.position());
            chunk.clear();
        }
        return all.toByteArray();
    }

    /** Sets where to append: after the complete records at the start of the bytes that were read. */
    void setAppendPosition(long completeBytes, long fileBytes) {
        size = completeBytes;
        tornEnd = fileBytes;
    }

    /** Whether the file has not been closed by this process. */
    boolean isOpen() {
        return channel.isOpen();
    }

    /** Bytes of the complete records in the file. */
    long size() {
        return size;
    }

    /** Whether bytes may follow the last complete record, which {@link #removeTornBytes} has to remove first. */
    boolean hasTornBytes() {
        return tornEnd > size;
    }

    /** Truncates the file after the last complete record or, if that fails, overwrites what follows it with zeros. */
    void removeTornBytes() throws IOException {
        if (!hasTornBytes()) {
            return;
        }
        try {
            channel.truncate(size);
        } catch (ClosedChannelException e) {
            throw e;
        } catch (IOException e) {
            writeAll(channel, new byte[(int) (tornEnd - size)], size);
        }
        tornEnd = size;
    }

    /** Appends a record. If this throws, whatever was written of the record is removed before the next append. */
    void append(byte[] record) throws IOException {
        removeTornBytes();
        try {
            writeAll(channel, record, size);
        } catch (IOException e) {
            tornEnd = size + record.length;
            throw e;
        }
        size += record.length;
        tornEnd = size;
    }

    /** Replaces the whole content of the file atomically. If this throws, the file is unchanged. */
    void replace(byte[] content) throws IOException {
        if (!channel.isOpen()) {
            // Another process may own the file by now.
            throw new ClosedChannelException();
        }
        FileChannel replacement = fileOpener.open(replacementFile, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            writeAll(replacement, content, 0);
            Files.move(replacementFile, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            close(replacement);
            Files.deleteIfExists(replacementFile);
            throw e;
        }
        FileChannel old = channel;
        channel = replacement;
        size = content.length;
        tornEnd = size;
        // A failure to close must not fail the replacement: the new file is in place and all later records go there.
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
            Log.write("error on closing the journal: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        close(channel);
    }
}
