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
 * has a length and a checksum, and is written to the operating system's page cache before the step that it describes is
 * taken. That survives any end of the process, SIGKILL included, so nothing is forced to disk (fsync). Times are
 * those of the machine's monotonic clock; a record in front of them names the boot that they belong to.
 *
 * <p>The folder never exceeds its size limit: before an append would leave no room for a compacted copy beside the
 * file, the live records are written to a new file, which then replaces the old one. New messages are rejected while
 * the live records, with the later records that they may still need, fill half of the limit.
 *
 * <p>Writes may fail for a while. Steps that can still be avoided (accepting a message, starting an attempt) are then
 * refused. Records of events that have already happened are kept in memory and written as soon as possible; until
 * then no message is accepted.
 */
final class Journal implements AutoCloseable {
    private static final int TAKEN = 1;
    private static final int ATTEMPT = 2;
    private static final int NEVER_RAN = 3;
    private static final int OWED = 4;
    private static final int ENDED = 5;
    private static final int HEALTH = 6;
    private static final int OVER = 7;
    /** Names the boot whose monotonic clock gave the times in the records after it; without one they are wall times. */
    private static final int BOOT = 8;
    /** Bytes reserved for the later records of a live message: for each attempt, and for its completion. */
    private static final int ATTEMPT_ROOM = 128;
    private static final int END_ROOM = 64;
    /** Limits on the ids of completed messages that are kept: their number, and their part of the folder's limit. */
    private static final int MOST_OVER = 4096;
    private static final int OVER_PART = 16;
    /**
     * Disk use counts in whole blocks of 512 bytes, so each file may take up to a block more than its size: two journal
     * files, the two files of {@link ProcessHandover}, and a spare block.
     */
    private static final int BLOCKS = 5 * 512;
    /** Delay before a failed write is retried: the first one, doubled after each failure up to the maximum. */
    private static final long FIRST_PAUSE_MS = 10;
    private static final long MOST_PAUSE_MS = 320;
    /** Bytes of unwritten records kept in memory; beyond that they are dropped and a compaction is written instead. */
    private static final int MOST_UNWRITTEN = 1 << 18;
    /** Time left for a message of another boot: longer than any class's deadline, to which its users limit it. */
    private static final long ANY_SPAN_NANOS = TimeUnit.DAYS.toNanos(1);

    private final JournalFile file;
    private final long bound;
    private final long messageRoom;
    private final MachineClock clock;
    private final Map<Long, AcceptedMessage> live = new TreeMap<>();
    /** Ids of the most recently completed messages, oldest first, and whether each was delivered. */
    private final Map<String, Boolean> completedIds = new LinkedHashMap<>();
    private long overBytes;
    /** The decision module's last state of each endpoint that is not in service. */
    private final Map<String, RecordedHealth> endpointHealth = new TreeMap<>();
    private long liveBytes;
    private long numbers;
    /** Records of past events that could not be written yet, in order; a compaction makes all of them obsolete. */
    private final Deque<byte[]> unwritten = new ArrayDeque<>();
    private long unwrittenBytes;
    /** A compaction has to be written before anything else: the last one failed, or unwritten records were dropped. */
    private boolean needsSnapshot;
    private boolean failing;
    private long writeFailures;
    private long pauseMs = FIRST_PAUSE_MS;
    private long tryAgainNanos = Long.MIN_VALUE;
    private LongConsumer tryAgain = ms -> { };
    /** What the times in the records being read, or already in the file, count from. */
    private TimeBase base = TimeBase.WALL_CLOCK;

    private enum TimeBase {
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
    Journal(Path folder, long diskBytes, int maxAttempts, MachineClock clock, FileOpener files) throws IOException {
        this.clock = clock;
        this.bound = diskBytes - BLOCKS;
        this.messageRoom = (long) maxAttempts * ATTEMPT_ROOM + END_ROOM;
        this.liveBytes = bootFrame().length;
        this.file = new JournalFile(folder, files);
        try {
            byte[] bytes = file.read();
            file.begin(JournalFrames.read(bytes, this::apply), bytes.length);
        } catch (IOException e) {
            file.close();
            throw e;
        }
        if (base == TimeBase.OTHER_BOOT && !live.isEmpty()) {
            Log.write("the journal was written before the machine was rebooted, so its times are unknown: "
                    + live.size() + " messages get their full deadline again,"
                    + " and earlier attempts count as past the deduplication window");
        }
    }

    /** The folder's size limit leaves no room for the record; no I/O has failed. */
    static final class JournalFullException extends IOException {
        private static final long serialVersionUID = 1;

        JournalFullException(String message) {
            super(message);
        }
    }

    /** The messages that are not completed or have a notice pending, in the order in which they were accepted. */
    Collection<AcceptedMessage> liveMessages() {
        return new ArrayList<>(live.values());
    }

    /** Returns a number for the next message, above all numbers used before. */
    long nextNumber() {
        return numbers++;
    }

    /** Sets a callback for failed writes; it gets the delay in milliseconds after which to call {@link #catchUp}. */
    void onFailure(LongConsumer told) {
        tryAgain = told;
    }

    /** Whether something is still to be written after a failure; no message is accepted until it is. */
    boolean isBehind() {
        return needsSnapshot || !unwritten.isEmpty() || file.isTorn();
    }

    /** Number of failed writes in this process. */
    long writeFailures() {
        return writeFailures;
    }

    /** Retries failed writes unless the retry delay is still running; returns whether everything is written. */
    boolean catchUp() {
        if (isBehind()) {
            if (!file.isOpen() || clock.nanos() < tryAgainNanos) {
                return false;
            }
            try {
                writeUnwritten();
            } catch (IOException e) {
                failed(e);
                return false;
            }
        }
        if (failing) {
            failing = false;
            pauseMs = FIRST_PAUSE_MS;
            Log.write("the journal can be written again; messages are accepted");
        }
        return true;
    }

    private void writeUnwritten() throws IOException {
        if (needsSnapshot) {
            compact();
        }
        file.mend();
        while (!unwritten.isEmpty()) {
            byte[] record = unwritten.peek();
            write(record);
            // Writing may have compacted the journal, which empties the queue.
            if (unwritten.peek() == record) {
                unwrittenBytes -= record.length;
                unwritten.remove();
            }
        }
    }

    private void failed(IOException e) {
        writeFailures++;
        if (!failing) {
            failing = true;
            Log.write("the journal can't be written; messages are rejected until a retry succeeds: " + e.getMessage());
        }
        tryAgainNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(pauseMs);
        tryAgain.accept(pauseMs);
        pauseMs = Math.min(MOST_PAUSE_MS, 2 * pauseMs);
    }

    /** Records that a message is accepted. If this throws, the message must be rejected. */
    void recordAccepted(AcceptedMessage held) throws IOException {
        byte[] record = takenFrame(held);
        long needed = liveBytes + record.length + messageRoom * (live.size() + 1L);
        if (2 * needed > bound) {
            throw new JournalFullException("the journal has no room for another message");
        }
        writeNow(record);
        count(held, record.length);
        live.put(held.number, held);
    }

    /**
     * Records an attempt that is about to be made; from here on it counts as one that may have run. If this throws, the
     * attempt must not be made. It still keeps its place in the message's list of attempts, as one that never ran.
     */
    void recordAttempt(AcceptedMessage held, AcceptedMessage.Attempt attempt) throws IOException {
        held.attempts.add(attempt);
        attempt.neverRan = true;
        byte[] record = attemptFrame(held, attempt);
        writeNow(record);
        count(held, record.length);
        attempt.neverRan = false;
        attempt.recordIndex = held.recordedAttempts++;
    }

    /** Records that the result of an attempt proved that it never ran. */
    void recordNeverRan(AcceptedMessage held, int number) {
        AcceptedMessage.Attempt attempt = held.attempts.get(number);
        attempt.neverRan = true;
        if (attempt.recordIndex != AcceptedMessage.Attempt.UNRECORDED) {
            append(held, neverRanFrame(held, attempt.recordIndex));
        }
    }

    /** Records that the message ended with a notice, which the agent has not confirmed yet. */
    void recordNotice(AcceptedMessage held, AcceptedMessage.Notice notice) {
        held.pendingNotice = Optional.of(notice);
        rememberCompleted(held.id, false);
        append(held, owedFrame(held, notice));
    }

    /**
     * Records that nothing is left to do for the message: it was delivered, its notice was confirmed, or its client
     * never got the answer that it was accepted.
     */
    void recordCompleted(AcceptedMessage held) {
        if (live.remove(held.number) != null) {
            liveBytes -= held.journalBytes;
            markIfTried(held);
            writeInTime(endedFrame(held));
        }
    }

    /** Whether the message with this id was delivered; empty if it is not among the most recently completed ones. */
    Optional<Boolean> deliveredBefore(String id) {
        return Optional.ofNullable(completedIds.get(id));
    }

    /** Ids of the most recently completed messages, oldest first, and whether each was delivered. */
    Map<String, Boolean> completedIds() {
        return new LinkedHashMap<>(completedIds);
    }

    /** Remembers the id of a completed message, so that neither this process nor the next accepts it again. */
    void rememberCompleted(String id, boolean delivered) {
        if (completedIds.put(id, delivered) == null) {
            overBytes += overSize(id);
            liveBytes += overSize(id);
        }
        while (completedIds.size() > MOST_OVER || overBytes > bound / OVER_PART) {
            String oldest = completedIds.keySet().iterator().next();
            completedIds.remove(oldest);
            overBytes -= overSize(oldest);
            liveBytes -= overSize(oldest);
        }
    }

    /** A message with neither an attempt nor a notice is not remembered: its client does not know it was accepted. */
    private void markIfTried(AcceptedMessage held) {
        if (held.pendingNotice.isPresent() || !held.attempts.isEmpty()) {
            rememberCompleted(held.id, held.pendingNotice.isEmpty());
        }
    }

    private static int overSize(String id) {
        return overFrame(id, true).length;
    }

    /** An endpoint's state, since when ({@link MachineClock#nanos}), and its sustained call rate before an outage. */
    record RecordedHealth(Relay.EndpointState state, long sinceNanos, double sustainedPerMs) {
        /** A state that began the given time ago. */
        static RecordedHealth ofAge(double agoMs, Relay.EndpointState state, double sustainedPerMs,
                MachineClock clock) {
            return new RecordedHealth(state, clock.nanos() - (long) (agoMs * 1e6), sustainedPerMs);
        }

        /** How long the endpoint has been in this state. */
        double ageMs(MachineClock clock) {
            return Math.max(0, (clock.nanos() - sinceNanos) / 1e6);
        }
    }

    /** Records a change of an endpoint's health; an endpoint in service needs no live record. */
    void recordEndpointHealth(String endpoint, RecordedHealth now) {
        byte[] record = healthFrame(endpoint, now);
        writeInTime(record);
        keep(endpoint, now, record.length);
    }

    /** The recorded health of the endpoints that are not in service, by endpoint id. */
    Map<String, RecordedHealth> endpointHealth() {
        return new TreeMap<>(endpointHealth);
    }

    private void keep(String endpoint, RecordedHealth now, int bytes) {
        boolean before = endpointHealth.remove(endpoint) != null;
        if (now.state() != Relay.EndpointState.UP) {
            endpointHealth.put(endpoint, now);
        }
        liveBytes += (endpointHealth.containsKey(endpoint) ? bytes : 0) - (before ? bytes : 0);
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

    private byte[] bootFrame() {
        return JournalFrames.frame(out -> {
            out.writeByte(BOOT);
            // In the place of the message number in other records.
            out.writeLong(clock.nanos());
            out.writeUTF(clock.bootId());
        });
    }

    private static byte[] takenFrame(AcceptedMessage held) {
        return JournalFrames.frame(out -> {
            out.writeByte(TAKEN);
            out.writeLong(held.number);
            out.writeUTF(held.id);
            out.writeUTF(held.messageClass);
            out.writeUTF(held.tenant);
            out.writeBoolean(held.key.isPresent());
            out.writeUTF(held.key.orElse(""));
            out.writeLong(held.destination);
            out.writeLong(held.deadlineNanos);
            out.writeInt(held.body.length);
            out.write(held.body);
        });
    }

    private static byte[] attemptFrame(AcceptedMessage held, AcceptedMessage.Attempt attempt) {
        return JournalFrames.frame(out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(held.number);
            out.writeUTF(attempt.endpoint);
            out.writeLong(attempt.sentNanos);
        });
    }

    private static byte[] neverRanFrame(AcceptedMessage held, int attempt) {
        return JournalFrames.frame(out -> {
            out.writeByte(NEVER_RAN);
            out.writeLong(held.number);
            out.writeInt(attempt);
        });
    }

    private static byte[] owedFrame(AcceptedMessage held, AcceptedMessage.Notice notice) {
        return JournalFrames.frame(out -> {
            out.writeByte(OWED);
            out.writeLong(held.number);
            out.writeBoolean(notice.bounced());
            out.writeDouble(notice.retryAfterMs());
        });
    }

    private static byte[] overFrame(String id, boolean delivered) {
        return JournalFrames.frame(out -> {
            out.writeByte(OVER);
            // In the place of the message number in other records.
            out.writeLong(0);
            out.writeUTF(id);
            out.writeBoolean(delivered);
        });
    }

    private static byte[] healthFrame(String endpoint, RecordedHealth health) {
        return JournalFrames.frame(out -> {
            out.writeByte(HEALTH);
            // In the place of the message number in other records.
            out.writeLong(health.sinceNanos());
            out.writeUTF(endpoint);
            out.writeByte(health.state().ordinal());
            out.writeDouble(health.sustainedPerMs());
        });
    }

    private static byte[] endedFrame(AcceptedMessage held) {
        return JournalFrames.frame(out -> {
            out.writeByte(ENDED);
            out.writeLong(held.number);
        });
    }

    private void append(AcceptedMessage held, byte[] record) {
        writeInTime(record);
        count(held, record.length);
    }

    /** Writes a record before the step that it describes; if this throws, the step must not be taken. */
    private void writeNow(byte[] record) throws IOException {
        if (!file.isOpen()) {
            throw new ClosedChannelException();
        }
        if (!catchUp()) {
            throw new IOException("the journal can't be written: an earlier write failed and is still to be retried");
        }
        try {
            write(record);
        } catch (JournalFullException e) {
            throw e;
        } catch (IOException e) {
            needsSnapshot |= !file.isTorn();
            failed(e);
            throw e;
        }
    }

    /** Writes a record of an event that has already happened, or queues it until the journal can be written. */
    private void writeInTime(byte[] record) {
        if (!file.isOpen()) {
            // Another process owns the file by now, or this process is ending.
            return;
        }
        if (catchUp()) {
            try {
                write(record);
                return;
            } catch (IOException e) {
                failed(e);
            }
        }
        unwritten.add(record);
        unwrittenBytes += record.length;
        if (unwrittenBytes > MOST_UNWRITTEN) {
            // A compaction writes the same state from memory.
            unwritten.clear();
            unwrittenBytes = 0;
            needsSnapshot = true;
        }
    }

    private void write(byte[] record) throws IOException {
        if (base != TimeBase.THIS_BOOT || file.size() + liveBytes + 2L * record.length > bound) {
            compact();
        }
        if (file.size() + record.length > bound) {
            throw new JournalFullException("the journal is full");
        }
        file.append(record);
    }

    private void compact() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) liveBytes);
        bytes.write(bootFrame());
        for (Map.Entry<String, RecordedHealth> known : endpointHealth.entrySet()) {
            bytes.write(healthFrame(known.getKey(), known.getValue()));
        }
        for (Map.Entry<String, Boolean> known : completedIds.entrySet()) {
            bytes.write(overFrame(known.getKey(), known.getValue()));
        }
        for (AcceptedMessage held : live.values()) {
            bytes.write(takenFrame(held));
            for (AcceptedMessage.Attempt attempt : held.attempts) {
                if (attempt.recordIndex == AcceptedMessage.Attempt.UNRECORDED) {
                    continue;
                }
                bytes.write(attemptFrame(held, attempt));
                if (attempt.neverRan) {
                    bytes.write(neverRanFrame(held, attempt.recordIndex));
                }
            }
            if (held.pendingNotice.isPresent()) {
                bytes.write(owedFrame(held, held.pendingNotice.get()));
            }
        }
        file.replace(bytes.toByteArray());
        unwritten.clear();
        unwrittenBytes = 0;
        needsSnapshot = false;
        base = TimeBase.THIS_BOOT;
    }

    // ---- reading ----

    private void apply(DataInputStream in, int length) throws IOException {
        int type = in.readByte();
        long number = in.readLong();
        if (type == BOOT) {
            // A time later than this clock's is not of this boot, even if the boot id is the same.
            String boot = in.readUTF();
            boolean same = !boot.isEmpty() && boot.equals(clock.bootId()) && number <= clock.nanos();
            base = same ? TimeBase.THIS_BOOT : TimeBase.OTHER_BOOT;
            return;
        }
        if (type == HEALTH) {
            String endpoint = in.readUTF();
            Relay.EndpointState state = Relay.EndpointState.values()[in.readByte()];
            keep(endpoint, restoredHealth(state, number, in.readDouble()), length);
            return;
        }
        if (type == OVER) {
            rememberCompleted(in.readUTF(), in.readBoolean());
            return;
        }
        numbers = Math.max(numbers, number + 1);
        if (type == TAKEN) {
            String id = in.readUTF();
            String messageClass = in.readUTF();
            String tenant = in.readUTF();
            boolean keyed = in.readBoolean();
            String key = in.readUTF();
            AcceptedMessage held = new AcceptedMessage(number, id, messageClass, tenant,
                    keyed ? Optional.of(key) : Optional.empty(), in.readLong(), deadlineNanos(in.readLong()),
                    in.readNBytes(in.readInt()));
            live.put(number, held);
            count(held, length);
            return;
        }
        AcceptedMessage held = live.get(number);
        if (held == null) {
            return;
        }
        switch (type) {
            case ATTEMPT -> {
                AcceptedMessage.Attempt attempt = restoredAttempt(in.readUTF(), in.readLong());
                held.attempts.add(attempt);
                attempt.recordIndex = held.recordedAttempts++;
            }
            case NEVER_RAN -> held.attempts.get(in.readInt()).neverRan = true;
            case OWED -> {
                held.pendingNotice = Optional.of(new AcceptedMessage.Notice(in.readBoolean(), in.readDouble()));
                held.finished = true;
                rememberCompleted(held.id, false);
            }
            case ENDED -> {
                live.remove(number);
                liveBytes -= held.journalBytes;
                markIfTried(held);
                return;
            }
            default -> throw new IOException("unknown type of journal record: " + type);
        }
        count(held, length);
    }

    /** A message of another boot gets a new deadline: retrying for too long does less harm than giving it up. */
    private long deadlineNanos(long recorded) {
        return switch (base) {
            case THIS_BOOT -> recorded;
            case OTHER_BOOT -> clock.nanos() + ANY_SPAN_NANOS;
            case WALL_CLOCK -> clock.nanos() + TimeUnit.MILLISECONDS.toNanos(recorded - clock.wallMillis());
        };
    }

    /** An attempt of another boot counts as older than any deduplication window, so that it is not repeated. */
    private AcceptedMessage.Attempt restoredAttempt(String endpoint, long recorded) {
        return switch (base) {
            case THIS_BOOT -> AcceptedMessage.Attempt.sentAt(endpoint, recorded, clock);
            case OTHER_BOOT -> AcceptedMessage.Attempt.ofUnknownAge(endpoint, clock);
            case WALL_CLOCK -> AcceptedMessage.Attempt.sentAgo(endpoint, clock.wallMillis() - recorded, clock);
        };
    }

    /** The health of an endpoint from another boot counts as just begun, so that a slow start begins again. */
    private RecordedHealth restoredHealth(Relay.EndpointState state, long recorded, double carriedPerMs) {
        return switch (base) {
            case THIS_BOOT -> new RecordedHealth(state, recorded, carriedPerMs);
            case OTHER_BOOT -> RecordedHealth.ofAge(0, state, carriedPerMs, clock);
            case WALL_CLOCK -> RecordedHealth.ofAge(clock.wallMillis() - recorded, state, carriedPerMs, clock);
        };
    }

    private void count(AcceptedMessage held, int length) {
        held.journalBytes += length;
        liveBytes += length;
    }
}
