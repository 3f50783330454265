package kestreldeal.net;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Frames the journal's records with a length and a CRC-32 checksum, so that incomplete records are detected. */
final class JournalFrames {
    /** Bytes of a frame's header: the record's length (4) and its checksum (8). */
    private static final int HEADER_BYTES = 12;
    /** Maximum length of a record in bytes; a larger one is taken for damage. */
    private static final int MAX_RECORD_BYTES = 1 << 20;

    private JournalFrames() {
    }

    /** Writes the content of a record. */
    interface RecordWriter {
        void write(DataOutputStream out) throws IOException;
    }

    /** Receives each record, and its length in bytes with the frame's header. */
    interface RecordReader {
        void read(DataInputStream record, int frameLength) throws IOException;
    }

    /** Builds a record with its frame's header. */
    static byte[] frame(RecordWriter writer) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(0);
            out.writeLong(0);
            writer.write(out);
            byte[] frame = bytes.toByteArray();
            ByteBuffer.wrap(frame).putInt(frame.length - HEADER_BYTES)
                    .putLong(checksum(frame, HEADER_BYTES, frame.length - HEADER_BYTES));
            return frame;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads up to the first record that is incomplete, damaged or rejected by the reader; returns its position. */
    static int read(byte[] bytes, RecordReader reader) {
        int position = 0;
        while (bytes.length - position >= HEADER_BYTES) {
            ByteBuffer header = ByteBuffer.wrap(bytes, position, HEADER_BYTES);
            int length = header.getInt();
            long checksum = header.getLong();
            if (length < 1 || length > MAX_RECORD_BYTES || length > bytes.length - position - HEADER_BYTES
                    || checksum(bytes, position + HEADER_BYTES, length) != checksum) {
                break;
            }
            try {
                reader.read(new DataInputStream(new ByteArrayInputStream(bytes, position + HEADER_BYTES, length)),
                        HEADER_BYTES + length);
            } catch (IOException e) {
                break;
            }
            position += HEADER_BYTES + length;
        }
        return position;
    }

    private static long checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return crc.getValue();
    }
}
