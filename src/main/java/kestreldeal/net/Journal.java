package kestreldeal.net;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import kestreldeal.Relay;

/**
 * Append-only journal of the messages that this sender has accepted, in a file that outlives its process. Each record
 * has a length and a checksum, and is written to the operating system's page cache, which survives any end of the
 * process, SIGKILL included; so nothing is forced to disk (fsync). The records of steps that can still be avoided
 * (accepting a message, starting an attempt) are written before the step, all others after the event. Times are those
 * of the machine's monotonic clock, which starts anew with each boot; a record before them identifies the boot.
 *
 * <p>The folder never exceeds its size limit. The journal is compacted before it becomes so large that the compacted
 * copy would not fit beside it: the live records (those that a restart would still need) are written to a new file,
 * which then replaces the old one. A message is rejected if the live records, plus the space reserved for the later
 * records of all live messages, would take more than half of the limit.
 *
 * <p>Writes may fail for a while. Steps that can still be avoided (accepting a message, starting an attempt) are then
 * refused. Records of events that have already happened are kept in memory and written as soon as possible; until
 * then no message is accepted.
 */
final class Journal implements AutoCloseable {
    /** Types of records, by their numbers in the file. */
    private static final int ACCEPTED = 1;
    private static final int ATTEMPT = 2;
    /** The result of an attempt proved that it never ran. */
    private static final int NEVER_RAN = 3;
    /** The message was rejected or has failed, and its notice is still to be confirmed. */
    private static final int NOTICE = 4;
    /** Nothing is left to do for a live message. */
    private static final int COMPLETED = 5;
    private static final int ENDPOINT_HEALTH = 6;
    /** Written by a compaction: the id of a completed message, and whether it was delivered. */
    private static final int COMPLETED_ID = 7;
    /**
     * Identifies the boot whose monotonic clock gave the times in the records after it; without one they are wall
     * times.
     */
    private static final int BOOT = 8;
    /**
     * Bytes reserved for the later records of a live message: for the ATTEMPT and NEVER_RAN records of each attempt,
     * and for its NOTICE and COMPLETED records.
     */
    private static final int ATTEMPT_RESERVE_BYTES = 128;
    private static final int COMPLETION_RESERVE_BYTES = 64;
    /** Maximum number of ids of completed messages that are kept. */
    private static final int MAX_COMPLETED_IDS = 4096;
    /** The records of these ids may take the journal's size limit divided by this. */
    private static final int COMPLETED_IDS_SIZE_DIVISOR = 16;
    /**
     * Disk use is counted in blocks of 512 bytes, so each file may count up to a block more than its size: two journal
     * files, the leader lock, the socket of {@link ProcessHandover}, and one block to spare.
     */
    private static final int BLOCK_ROUNDING_BYTES = 5 * 512;
    /** Delay before a failed write is retried: the first one, doubled after each failure up to the maximum. */
    private static final long INITIAL_RETRY_DELAY_MS = 10;
    private static final long MAX_RETRY_DELAY_MS = 320;
    /**
     * Limit on the unwritten records kept in memory. Beyond it they are dropped, and the next write is a compaction,
     * which contains the same state.
     */
    private static final int MAX_UNWRITTEN_BYTES = 1 << 18;
    /**
     * Time left of a message that was accepted before a reboot: longer than the deadline of any class. The sender caps
     * it to the deadline of the message's class.
     */
    private static final long OTHER_BOOT_TIME_LEFT_NANOS = TimeUnit.DAYS.toNanos(1);

    private final JournalFile file;
    private final long maxBytes;
    private final long reservedBytesPerMessage;
    private final MachineClock clock;
    private final Map<Long, AcceptedMessage> liveMessages = new TreeMap<>();
    /** Ids of the most recently completed messages, oldest first, and whether each was delivered. */
    private final Map<String, Boolean> deliveredByCompletedId = new LinkedHashMap<>();
    private long completedIdsBytes;
    /** Last recorded health of each endpoint that is not in service. */
    private final Map<String, RecordedHealth> endpointHealth = new TreeMap<>();
    /** Size of the records that a compaction would write now. */
    private long liveBytes;
    private long nextNumber;
    /** Records of past events that could not be written yet, in order; a compaction makes all of them obsolete. */
    private final Deque<byte[]> unwrittenRecords = new ArrayDeque<>();
    private long unwrittenBytes;
    /** A compaction has to be written before anything else: the last one failed, or unwritten records were dropped. */
    private boolean needsCompaction;
    /** Whether a failure has been logged and the recovery from it has not. */
    private boolean failureLogged;
    private long writeFailures;
    private long retryDelayMs = INITIAL_RETRY_DELAY_MS;
    private long nextRetryNanos = Long.MIN_VALUE;
    private LongConsumer failureCallback = ms -> { };
    /**
     * The clock of the times in the file; while the file is read, of those in the records read since the last BOOT
     * record.
     */
    private RecordedClock recordedClock = RecordedClock.WALL_CLOCK;

    private enum RecordedClock {
        /** Unix time in milliseconds, as written by an earlier release that recorded no boot. */
        WALL_CLOCK,
        /** The monotonic clock of this boot, in nanoseconds. */
        THIS_BOOT,
        /** The monotonic clock of another boot: how long ago it was is unknown. */
        OTHER_BOOT
    }

    Journal(Path folder, long diskBytes, int maxAttempts) throws IOException {
        this(folder, diskBytes, maxAttempts, MachineClock.system(), FileChannel::open);
    }

    /** Opens the journal's files; a test can pass one whose files fail. */
    interface FileOpener {
        FileChannel open(Path file, OpenOption... options) throws IOException;
    }

    /** Opens the journal with the given clock and access to files. */
    Journal(Path folder, long diskBytes, int maxAttempts, MachineClock clock, FileOpener fileOpener)
            throws IOException {
        this.clock = clock;
        this.maxBytes = diskBytes - BLOCK_ROUNDING_BYTES;
        this.reservedBytesPerMessage = (long) maxAttempts * ATTEMPT_RESERVE_BYTES + COMPLETION_RESERVE_BYTES;
        this.liveBytes = encodeBoot().length;
        this.file = new JournalFile(folder, fileOpener);
        try {
            byte[] bytes = file.read();
            file.setAppendPosition(JournalFrames.read(bytes, this::applyRecord), bytes.length);
        } catch (IOException e) {
            file.close();
            throw e;
        }
        if (recordedClock == RecordedClock.OTHER_BOOT && !liveMessages.isEmpty()) {
            Log.write("the journal was written before the machine was rebooted, so its times can't be compared: "
                    + liveMessages.size() + " messages get the full deadline of their class again,"
                    + " and their earlier attempts count as older than any deduplication window");
        }
    }

    /** The folder's size limit leaves no room for the record; no I/O has failed. */
    static final class JournalFullException extends IOException {
        private static final long serialVersionUID = 1;

        JournalFullException(String message) {
            super(message);
        }
    }

    /** The messages without a final result, or with a notice not yet confirmed, in the order of their acceptance. */
    Collection<AcceptedMessage> liveMessages() {
        return new ArrayList<>(liveMessages.values());
    }

    /** Returns a number for the next message, above all numbers used before. */
    long assignNumber() {
        return nextNumber++;
    }

    /**
     * Sets a callback for failed writes; it gets the delay in milliseconds after which to call {@link
     * #retryFailedWrites}.
     */
    void onFailure(LongConsumer callback) {
        failureCallback = callback;
    }

    /** Whether a failed write is still to be retried; until then no message is accepted. */
    boolean hasUnwrittenState() {
        return needsCompaction || !unwrittenRecords.isEmpty() || file.hasTornBytes();
    }

    /** Number of failed writes in this process. */
    long writeFailures() {
        return writeFailures;
    }

    /**
     * Retries failed writes, if there are any and the retry delay has passed; returns whether nothing is left to be
     * written.
     */
    boolean retryFailedWrites() {
        if (hasUnwrittenState()) {
            if (!file.isOpen() || clock.nanos() < nextRetryNanos) {
                return false;
            }
            try {
                writeUnwrittenRecords();
            } catch (IOException e) {
                handleWriteFailure(e);
                return false;
            }
        }
        if (failureLogged) {
            failureLogged = false;
            retryDelayMs = INITIAL_RETRY_DELAY_MS;
            Log.write("the journal can be written again; messages are accepted");
        }
        return true;
    }

    private void writeUnwrittenRecords() throws IOException {
        if (needsCompaction) {
            compact();
        }
        file.removeTornBytes();
        while (!unwrittenRecords.isEmpty()) {
            byte[] record = unwrittenRecords.peek();
            appendRecord(record);
            // Writing may have compacted the journal, which empties the queue.
            if (unwrittenRecords.peek() == record) {
                unwrittenBytes -= record.length;
                unwrittenRecords.remove();
            }
        }
    }

    private void handleWriteFailure(IOException e) {
        writeFailures++;
        if (!failureLogged) {
            failureLogged = true;
            Log.write("the journal can't be written; messages are rejected until a retry succeeds: " + e.getMessage());
        }
        nextRetryNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(retryDelayMs);
        failureCallback.accept(retryDelayMs);
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
    }

    /** Records that a message is accepted. If this throws, the message must be rejected. */
    void recordAccepted(AcceptedMessage message) throws IOException {
        byte[] record = encodeAccepted(message);
        long needed = liveBytes + record.length + reservedBytesPerMessage * (liveMessages.size() + 1L);
        if (2 * needed > maxBytes) {
            throw new JournalFullException("the journal has no room for another message");
        }
        writeAhead(record);
        addRecordBytes(message, record.length);
        liveMessages.put(message.number, message);
    }

    /**
     * Records an attempt that is about to be made; from here on it counts as one that may have run. If this throws, the
     * attempt must not be made. It keeps its number even then, because the decision module has counted it, and is
     * marked as one that never ran.
     */
    void recordAttempt(AcceptedMessage message, AcceptedMessage.Attempt attempt) throws IOException {
        message.attempts.add(attempt);
        attempt.neverRan = true;
        byte[] record = encodeAttempt(message, attempt);
        writeAhead(record);
        addRecordBytes(message, record.length);
        attempt.neverRan = false;
        attempt.recordIndex = message.recordedAttemptCount++;
    }

    /** Records that the result of an attempt proved that it never ran. */
    void recordNeverRan(AcceptedMessage message, int attemptNumber) {
        AcceptedMessage.Attempt attempt = message.attempts.get(attemptNumber);
        attempt.neverRan = true;
        if (attempt.recordIndex != AcceptedMessage.Attempt.UNRECORDED) {
            writeMessageRecord(message, encodeNeverRan(message, attempt.recordIndex));
        }
    }

    /** Records that the message ended with a notice, which the agent has not confirmed yet. */
    void recordNotice(AcceptedMessage message, AcceptedMessage.Notice notice) {
        message.pendingNotice = Optional.of(notice);
        rememberCompleted(message.id, false);
        writeMessageRecord(message, encodeNotice(message, notice));
    }

    /**
     * Records that nothing is left to do for the message: it was delivered, it has expired at its destination, its
     * notice was confirmed or was dropped after repeated rejections, or its 202 response could not be written.
     */
    void recordCompleted(AcceptedMessage message) {
        if (liveMessages.remove(message.number) != null) {
            liveBytes -= message.journalBytes;
            rememberIfAttempted(message);
            writeOrQueue(encodeCompleted(message));
        }
    }

    /** Whether the message with this id was delivered; empty if it is not among the most recently completed ones. */
    Optional<Boolean> wasDelivered(String id) {
        return Optional.ofNullable(deliveredByCompletedId.get(id));
    }

    /** Ids of the most recently completed messages, oldest first, and whether each was delivered. */
    Map<String, Boolean> deliveredByCompletedId() {
        return new LinkedHashMap<>(deliveredByCompletedId);
    }

    /**
     * Keeps the id of a completed message, so that the message is not accepted again. The id gets a record of its own
     * only in the next compaction; until then the records of its message imply it.
     */
    void rememberCompleted(String id, boolean delivered) {
        if (deliveredByCompletedId.put(id, delivered) == null) {
            completedIdsBytes += completedIdRecordBytes(id);
            liveBytes += completedIdRecordBytes(id);
        }
        while (deliveredByCompletedId.size() > MAX_COMPLETED_IDS
                || completedIdsBytes > maxBytes / COMPLETED_IDS_SIZE_DIVISOR) {
            String oldest = deliveredByCompletedId.keySet().iterator().next();
            deliveredByCompletedId.remove(oldest);
            completedIdsBytes -= completedIdRecordBytes(oldest);
            liveBytes -= completedIdRecordBytes(oldest);
        }
    }

    /**
     * Keeps the id of a completed message unless it has neither an attempt nor a notice. Such a message was dropped
     * because its 202 response could not be written, and its client may submit it again.
     */
    private void rememberIfAttempted(AcceptedMessage message) {
        if (message.pendingNotice.isPresent() || !message.attempts.isEmpty()) {
            rememberCompleted(message.id, message.pendingNotice.isEmpty());
        }
    }

    private static int completedIdRecordBytes(String id) {
        return encodeCompletedId(id, true).length;
    }

    /**
     * The recorded health of an endpoint: its state, the time at which that began (by {@link MachineClock#nanos}), and
     * the calls per millisecond that it sustained before an outage.
     */
    record RecordedHealth(Relay.EndpointState state, long sinceNanos, double sustainedPerMs) {
        /** A state that began the given time ago. */
        static RecordedHealth ofAge(double ageMs, Relay.EndpointState state, double sustainedPerMs,
                MachineClock clock) {
            return new RecordedHealth(state, clock.nanos() - (long) (ageMs * 1e6), sustainedPerMs);
        }

        /** How long the endpoint has been in this state. */
        double ageMs(MachineClock clock) {
            return Math.max(0, (clock.nanos() - sinceNanos) / 1e6);
        }
    }

    /** Records a change of an endpoint's health. A compaction omits endpoints in service, which is the default. */
    void recordEndpointHealth(String endpoint, RecordedHealth health) {
        byte[] record = encodeEndpointHealth(endpoint, health);
        writeOrQueue(record);
        storeEndpointHealth(endpoint, health, record.length);
    }

    /** The recorded health of the endpoints that are not in service, by endpoint id. */
    Map<String, RecordedHealth> endpointHealth() {
        return new TreeMap<>(endpointHealth);
    }

    private void storeEndpointHealth(String endpoint, RecordedHealth health, int recordBytes) {
        boolean wasLive = endpointHealth.remove(endpoint) != null;
        if (health.state() != Relay.EndpointState.UP) {
            endpointHealth.put(endpoint, health);
        }
        liveBytes += (endpointHealth.containsKey(endpoint) ? recordBytes : 0) - (wasLive ? recordBytes : 0);
    }

    /** Closes the journal for another process to open, compacted so that it has only the live records to read. */
    void handOver() {
        try {
            compact();
        } catch (IOException e) {
            Log.write("the journal is handed over without a compaction, which failed: " + e.getMessage());
        }
        close();
    }

    /** Current size of the journal's file in bytes. */
    long size() {
        return file.size();
    }

    @Override
    public void close() {
        file.close();
    }

    // ---- writing ----

    private byte[] encodeBoot() {
        return JournalFrames.frame(out -> {
            out.writeByte(BOOT);
            // Most records have the message number here; this one has the time.
            out.writeLong(clock.nanos());
            out.writeUTF(clock.bootId());
        });
    }

    private static byte[] encodeAccepted(AcceptedMessage message) {
        return JournalFrames.frame(out -> {
            out.writeByte(ACCEPTED);
            out.writeLong(message.number);
            out.writeUTF(message.id);
            out.writeUTF(message.messageClass);
            out.writeUTF(message.tenant);
            out.writeBoolean(message.key.isPresent());
            out.writeUTF(message.key.orElse(""));
            out.writeLong(message.destination);
            out.writeLong(message.completionDeadlineNanos);
            out.writeInt(message.body.length);
            out.write(message.body);
        });
    }

    private static byte[] encodeAttempt(AcceptedMessage message, AcceptedMessage.Attempt attempt) {
        return JournalFrames.frame(out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(message.number);
            out.writeUTF(attempt.endpoint);
            out.writeLong(attempt.startedNanos);
        });
    }

    private static byte[] encodeNeverRan(AcceptedMessage message, int recordIndex) {
        return JournalFrames.frame(out -> {
            out.writeByte(NEVER_RAN);
            out.writeLong(message.number);
            out.writeInt(recordIndex);
        });
    }

    private static byte[] encodeNotice(AcceptedMessage message, AcceptedMessage.Notice notice) {
        return JournalFrames.frame(out -> {
            out.writeByte(NOTICE);
            out.writeLong(message.number);
            out.writeBoolean(notice.rejected());
            out.writeDouble(notice.retryAfterMs());
        });
    }

    private static byte[] encodeCompletedId(String id, boolean delivered) {
        return JournalFrames.frame(out -> {
            out.writeByte(COMPLETED_ID);
            // Most records have the message number here; in this one the field is unused.
            out.writeLong(0);
            out.writeUTF(id);
            out.writeBoolean(delivered);
        });
    }

    private static byte[] encodeEndpointHealth(String endpoint, RecordedHealth health) {
        return JournalFrames.frame(out -> {
            out.writeByte(ENDPOINT_HEALTH);
            // Most records have the message number here; this one has a time.
            out.writeLong(health.sinceNanos());
            out.writeUTF(endpoint);
            out.writeByte(health.state().ordinal());
            out.writeDouble(health.sustainedPerMs());
        });
    }

    private static byte[] encodeCompleted(AcceptedMessage message) {
        return JournalFrames.frame(out -> {
            out.writeByte(COMPLETED);
            out.writeLong(message.number);
        });
    }

    private void writeMessageRecord(AcceptedMessage message, byte[] record) {
        writeOrQueue(record);
        addRecordBytes(message, record.length);
    }

    /** Writes a record before the step that it describes; if this throws, the step must not be taken. */
    private void writeAhead(byte[] record) throws IOException {
        if (!file.isOpen()) {
            throw new ClosedChannelException();
        }
        if (!retryFailedWrites()) {
            throw new IOException("the journal can't be written: an earlier write failed and is still to be retried");
        }
        try {
            appendRecord(record);
        } catch (JournalFullException e) {
            throw e;
        } catch (IOException e) {
            // Without torn bytes it was not the append that failed, but the compaction before it.
            needsCompaction |= !file.hasTornBytes();
            handleWriteFailure(e);
            throw e;
        }
    }

    /** Writes a record of an event that has already happened, or queues it until the journal can be written. */
    private void writeOrQueue(byte[] record) {
        if (!file.isOpen()) {
            // Another process owns the file by now, or this process is ending.
            return;
        }
        if (retryFailedWrites()) {
            try {
                appendRecord(record);
                return;
            } catch (IOException e) {
                handleWriteFailure(e);
            }
        }
        unwrittenRecords.add(record);
        unwrittenBytes += record.length;
        if (unwrittenBytes > MAX_UNWRITTEN_BYTES) {
            // A compaction writes the same state from memory.
            unwrittenRecords.clear();
            unwrittenBytes = 0;
            needsCompaction = true;
        }
    }

    private void appendRecord(byte[] record) throws IOException {
        if (recordedClock != RecordedClock.THIS_BOOT || file.size() + liveBytes + 2L * record.length > maxBytes) {
            compact();
        }
        if (file.size() + record.length > maxBytes) {
            throw new JournalFullException("the journal is full");
        }
        file.append(record);
    }

    /** Replaces the file by one with the live records only. That makes the unwritten records obsolete. */
    private void compact() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) liveBytes);
        bytes.write(encodeBoot());
        for (Map.Entry<String, RecordedHealth> entry : endpointHealth.entrySet()) {
            bytes.write(encodeEndpointHealth(entry.getKey(), entry.getValue()));
        }
        for (Map.Entry<String, Boolean> entry : deliveredByCompletedId.entrySet()) {
            bytes.write(encodeCompletedId(entry.getKey(), entry.getValue()));
        }
        for (AcceptedMessage message : liveMessages.values()) {
            bytes.write(encodeAccepted(message));
            for (AcceptedMessage.Attempt attempt : message.attempts) {
                if (attempt.recordIndex == AcceptedMessage.Attempt.UNRECORDED) {
                    continue;
                }
                bytes.write(encodeAttempt(message, attempt));
                if (attempt.neverRan) {
                    bytes.write(encodeNeverRan(message, attempt.recordIndex));
                }
            }
            if (message.pendingNotice.isPresent()) {
                bytes.write(encodeNotice(message, message.pendingNotice.get()));
            }
        }
        file.replace(bytes.toByteArray());
        unwrittenRecords.clear();
        unwrittenBytes = 0;
        needsCompaction = false;
        recordedClock = RecordedClock.THIS_BOOT;
    }

    // ---- reading ----

    private void applyRecord(DataInputStream in, int frameLength) throws IOException {
        int type = in.readByte();
        long numberOrTime = in.readLong();
        if (type == BOOT) {
            // A time later than now can't be of this boot, even if the boot id is the same.
            String bootId = in.readUTF();
            boolean sameBoot = !bootId.isEmpty() && bootId.equals(clock.bootId()) && numberOrTime <= clock.nanos();
            recordedClock = sameBoot ? RecordedClock.THIS_BOOT : RecordedClock.OTHER_BOOT;
            return;
        }
        if (type == ENDPOINT_HEALTH) {
            String endpoint = in.readUTF();
            Relay.EndpointState state = Relay.EndpointState.values()[in.readByte()];
            storeEndpointHealth(endpoint, restoredHealth(state, numberOrTime, in.readDouble()), frameLength);
            return;
        }
        if (type == COMPLETED_ID) {
            rememberCompleted(in.readUTF(), in.readBoolean());
            return;
        }
        nextNumber = Math.max(nextNumber, numberOrTime + 1);
        if (type == ACCEPTED) {
            String id = in.readUTF();
            String messageClass = in.readUTF();
            String tenant = in.readUTF();
            boolean keyed = in.readBoolean();
            String key = in.readUTF();
            AcceptedMessage message = new AcceptedMessage(numberOrTime, id, messageClass, tenant,
                    keyed ? Optional.of(key) : Optional.empty(), in.readLong(), restoredDeadlineNanos(in.readLong()),
                    in.readNBytes(in.readInt()));
            liveMessages.put(numberOrTime, message);
            addRecordBytes(message, frameLength);
            return;
        }
        AcceptedMessage message = liveMessages.get(numberOrTime);
        if (message == null) {
            return;
        }
        switch (type) {
            case ATTEMPT -> {
                AcceptedMessage.Attempt attempt = restoredAttempt(in.readUTF(), in.readLong());
                message.attempts.add(attempt);
                attempt.recordIndex = message.recordedAttemptCount++;
            }
            case NEVER_RAN -> message.attempts.get(in.readInt()).neverRan = true;
            case NOTICE -> {
                message.pendingNotice = Optional.of(new AcceptedMessage.Notice(in.readBoolean(), in.readDouble()));
                message.finished = true;
                rememberCompleted(message.id, false);
            }
            case COMPLETED -> {
                liveMessages.remove(numberOrTime);
                liveBytes -= message.journalBytes;
                rememberIfAttempted(message);
                return;
            }
            default -> throw new IOException("unknown type of journal record: " + type);
        }
        addRecordBytes(message, frameLength);
    }

    /**
     * A message that was accepted in another boot gets a new deadline: retrying for too long does less harm than giving
     * it up.
     */
    private long restoredDeadlineNanos(long recordedTime) {
        return switch (recordedClock) {
            case THIS_BOOT -> recordedTime;
            case OTHER_BOOT -> clock.nanos() + OTHER_BOOT_TIME_LEFT_NANOS;
            case WALL_CLOCK -> clock.nanos() + TimeUnit.MILLISECONDS.toNanos(recordedTime - clock.wallMillis());
        };
    }

    /**
     * An attempt of another boot counts as older than any deduplication window, so that a keyed message that may have
     * run is not sent again.
     */
    private AcceptedMessage.Attempt restoredAttempt(String endpoint, long recordedTime) {
        return switch (recordedClock) {
            case THIS_BOOT -> AcceptedMessage.Attempt.startedAt(endpoint, recordedTime, clock);
            case OTHER_BOOT -> AcceptedMessage.Attempt.ofUnknownAge(endpoint, clock);
            case WALL_CLOCK -> AcceptedMessage.Attempt.startedAgo(endpoint, clock.wallMillis() - recordedTime, clock);
        };
    }

    /** An endpoint state recorded in another boot counts as entered just now, so that a slow start begins again. */
    private RecordedHealth restoredHealth(Relay.EndpointState state, long recordedTime, double sustainedPerMs) {
        return switch (recordedClock) {
            case THIS_BOOT -> new RecordedHealth(state, recordedTime, sustainedPerMs);
            case OTHER_BOOT -> RecordedHealth.ofAge(0, state, sustainedPerMs, clock);
            case WALL_CLOCK -> RecordedHealth.ofAge(clock.wallMillis() - recordedTime, state, sustainedPerMs, clock);
        };
    }

    private void addRecordBytes(AcceptedMessage message, int length) {
        message.journalBytes += length;
        liveBytes += length;
    }
}
