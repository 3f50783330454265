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
    private static final int HEAD = 12;
    /** Maximum length of a record in bytes; a larger value is not a length that was written here, or is damaged. */
    private static final int LONGEST = 1 << 20;

    private JournalFrames() {
    }

    /** Writes the content of a record. */
    interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    /** Receives each record, and its length in bytes with the frame's header. */
    interface Reader {
        void read(DataInputStream record, int frameLength) throws IOException;
    }

    /** Builds a record with its frame's header. */
    static byte[] frame(Body body) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(0);
            out.writeLong(0);
            body.write(out);
            byte[] frame = bytes.toByteArray();
            ByteBuffer.wrap(frame).putInt(frame.length - HEAD).putLong(checksum(frame, HEAD, frame.length - HEAD));
            return frame;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads up to the first record that is incomplete, damaged or rejected by the reader; returns its position. */
    static int read(byte[] bytes, Reader reader) {
        int at = 0;
        while (bytes.length - at >= HEAD) {
            ByteBuffer head = ByteBuffer.wrap(bytes, at, HEAD);
            int length = head.getInt();
            long checksum = head.getLong();
            if (length < 1 || length > LONGEST || length > bytes.length - at - HEAD
                    || checksum(bytes, at + HEAD, length) != checksum) {
                break;
            }
            try {
                reader.read(new DataInputStream(new ByteArrayInputStream(bytes, at + HEAD, length)), HEAD + length);
            } catch (IOException e) {
                break;
            }
            at += HEAD + length;
        }
        return at;
    }

    private static long checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return crc.getValue();
    }
}
