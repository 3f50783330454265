package kestreldeal.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;

/** Files that can be made to fail: a failing write leaves half of its bytes in the file, other calls do nothing. */
final class FailingFiles implements Journal.FileOpener {
    private boolean failing;
    private boolean failingClose;
    private boolean failingAfterWrite;
    private boolean failingTruncate;

    /** Makes all calls fail from now on, or work again. */
    void fail(boolean enabled) {
        failing = enabled;
    }

    /** Makes all calls fail from now on, but failing writes leave all of their bytes in the file. */
    void failAfterWriting() {
        failing = true;
        failingAfterWrite = true;
    }

    /** Makes every truncation fail from now on, even while other calls work. */
    void failTruncating() {
        failingTruncate = true;
    }

    /** Makes every close report an error from now on, although the file is closed. */
    void failClosing() {
        failingClose = true;
    }

    @Override
    public FileChannel open(Path file, OpenOption... options) throws IOException {
        throwIfFailing();
        return new Channel(FileChannel.open(file, options));
    }

    private void throwIfFailing() throws IOException {
        if (failing) {
            throw new IOException("Input/output error");
        }
    }

    private final class Channel extends FileChannel {
        private final FileChannel file;

        Channel(FileChannel file) {
            this.file = file;
        }

        /** The bytes that a failing write leaves in the file. */
        private ByteBuffer writtenPart(ByteBuffer bytes) {
            ByteBuffer written = bytes.duplicate();
            written.limit(written.position() + written.remaining() / (failingAfterWrite ? 1 : 2));
            return written;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            if (failing) {
                file.write(writtenPart(bytes));
                throwIfFailing();
            }
            return file.write(bytes);
        }

        @Override
        public int write(ByteBuffer bytes, long position) throws IOException {
            if (failing) {
                file.write(writtenPart(bytes), position);
                throwIfFailing();
            }
            return file.write(bytes, position);
        }

        @Override
        public long write(ByteBuffer[] all, int offset, int length) throws IOException {
            throwIfFailing();
            return file.write(all, offset, length);
        }

        @Override
        public FileChannel truncate(long size) throws IOException {
            throwIfFailing();
            if (failingTruncate) {
                throw new IOException("Input/output error");
            }
            file.truncate(size);
            return this;
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            throwIfFailing();
            return file.read(to);
        }

        @Override
        public int read(ByteBuffer to, long position) throws IOException {
            throwIfFailing();
            return file.read(to, position);
        }

        @Override
        public long read(ByteBuffer[] to, int offset, int length) throws IOException {
            throwIfFailing();
            return file.read(to, offset, length);
        }

        @Override
        public long position() throws IOException {
            return file.position();
        }

        @Override
        public FileChannel position(long newPosition) throws IOException {
            file.position(newPosition);
            return this;
        }

        @Override
        public long size() throws IOException {
            throwIfFailing();
            return file.size();
        }

        @Override
        public void force(boolean metaData) throws IOException {
            throwIfFailing();
            file.force(metaData);
        }

        @Override
        public long transferTo(long position, long count, WritableByteChannel target) throws IOException {
            throw new UnsupportedOperationException();
        }

        @Override
        public long transferFrom(ReadableByteChannel source, long position, long count) throws IOException {
            throw new UnsupportedOperationException();
        }

        @Override
        public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileLock lock(long position, long size, boolean shared) throws IOException {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) throws IOException {
            throw new UnsupportedOperationException();
        }

        @Override
        protected void implCloseChannel() throws IOException {
            file.close();
            if (failingClose) {
                throw new IOException("Input/output error");
            }
        }
    }
}
