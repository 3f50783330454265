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
 * What this sender has taken on, in a file that outlasts its process. Records are appended, each with its
 * length and checksum, and reach the system's cache before the step that they stand for: that survives any
 * end of the process, so nothing is forced to disk. Times are those of the machine's monotonic clock, behind a record
 * that names the boot that they count in.
 *
 * <p>The folder never holds more than its bound: before an append would leave no room for a compacted copy
 * beside the file, the live records are written to a new file, which then takes the old one's place. New
 * messages are turned away while what is live, with the records that it may still need, fills half the bound.
 *
 * <p>The folder may fail for a while. What can still be left undone (a message taken, an attempt) is not done then;
 * what has happened is kept here and written as soon as possible, and until then nothing new is taken on.
 */
final class Journal implements AutoCloseable {
    private static final int TAKEN = 1;
    private static final int ATTEMPT = 2;
    private static final int NEVER_RAN = 3;
    private static final int OWED = 4;
    private static final int ENDED = 5;
    private static final int HEALTH = 6;
    private static final int OVER = 7;
    /** Times in the records behind it are those of this boot's monotonic clock; where there is none, wall time. */
    private static final int BOOT = 8;
    /** Room for the later records of a message: for each attempt, and for its end. */
    private static final int ATTEMPT_ROOM = 128;
    private static final int END_ROOM = 64;
    /** Ids of messages that are over are known for as many, in this part of the room at most. */
    private static final int MOST_OVER = 4096;
    private static final int OVER_PART = 16;
    /** Files count in whole blocks: two files, those of {@link ProcessHandover}, and a block to spare. */
    private static final int BLOCKS = 5 * 512;
    /** Pauses between attempts to write again what could not be written. */
    private static final long FIRST_PAUSE_MS = 10;
    private static final long MOST_PAUSE_MS = 320;
    /** Bytes of records that wait to be written; with more, all that is live is written instead. */
    private static final int MOST_UNWRITTEN = 1 << 18;
    /** Longer than the deadline of any class, to which it is bounded where it is used. */
    private static final long ANY_SPAN_NANOS = TimeUnit.DAYS.toNanos(1);

    private final JournalFile file;
    private final long bound;
    private final long messageRoom;
    private final MachineClock clock;
    private final Map<Long, AcceptedMessage> live = new TreeMap<>();
    /** Ids of messages that were over last, the oldest first, and whether they were delivered. */
    private final Map<String, Boolean> over = new LinkedHashMap<>();
    private long overBytes;
    /** What the module last knew of endpoints that are not in service. */
    private final Map<String, Health> health = new TreeMap<>();
    private long liveBytes;
    private long numbers;
    /** Records of what has happened that could not be written yet, in order; or all is to be written anew. */
    private final Deque<byte[]> unwritten = new ArrayDeque<>();
    private long unwrittenBytes;
    private boolean needsSnapshot;
    private boolean failing;
    private long failures;
    private long pauseMs = FIRST_PAUSE_MS;
    private long tryAgainNanos = Long.MIN_VALUE;
    private LongConsumer tryAgain = ms -> { };
    /** How the times in the records that are read, or are in the file, are meant. */
    private TimeBase base = TimeBase.WALL_CLOCK;

    /** What a time in a record counts from. */
    private enum TimeBase {
        /** Unix time in milliseconds: written by a release that kept no other. */
        WALL_CLOCK,
        /** The monotonic clock of this boot, in nanoseconds. */
        THIS_BOOT,
        /** That of another boot: nobody knows how long ago it was. */
        OTHER_BOOT
    }

    Journal(Path folder, long diskBytes, int maxAttempts) throws IOException {
        this(folder, diskBytes, maxAttempts, MachineClock.system(), FileChannel::open);
    }

    /** Opens a file; it, and what is done with it, may fail. */
    interface FileOpener {
        FileChannel open(Path file, OpenOption... options) throws IOException;
    }

    /** The same with clocks and files of its own. */
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
            Log.write("the journal was written before this boot: " + live.size()
                    + " messages have all their time again,"
                    + " and none that may have run is repeated");
        }
    }

    /** There is no room within the bound of the folder; nothing has failed. */
    static final class JournalFullException extends IOException {
        private static final long serialVersionUID = 1;

        JournalFullException(String message) {
            super(message);
        }
    }

    /** What was held when the last process ended, in the order taken. */
    Collection<AcceptedMessage> held() {
        return new ArrayList<>(live.values());
    }

    /** A number for the next message, above all that were used. */
    long nextNumber() {
        return numbers++;
    }

    /** Told each time that something could not be written, and after how long {@link #catchUp} should be called. */
    void onFailure(LongConsumer told) {
        tryAgain = told;
    }

    /** Whether there is something that could not be written yet: until it is, nothing new is taken on. */
    boolean isBehind() {
        return needsSnapshot || !unwritten.isEmpty() || file.isTorn();
    }

    /** How often something could not be written. */
    long failures() {
        return failures;
    }

    /** Writes what could not be written before, unless it is too soon to try again; returns whether all is written. */
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
            Log.write("the journal is whole again; messages are taken");
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
            // A compaction has written all of them.
            if (unwritten.peek() == record) {
                unwrittenBytes -= record.length;
                unwritten.remove();
            }
        }
    }

    private void failed(IOException e) {
        failures++;
        if (!failing) {
            failing = true;
            Log.write("the journal can't be written, and no message is taken until it can: " + e.getMessage());
        }
        tryAgainNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(pauseMs);
        tryAgain.accept(pauseMs);
        pauseMs = Math.min(MOST_PAUSE_MS, 2 * pauseMs);
    }

    /** Takes a message on, or throws: then it must be refused. */
    void taken(AcceptedMessage held) throws IOException {
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
     * An attempt is about to be made; it counts as one that may have run from here on. If it can't be recorded it
     * must not be made; it keeps its place among the attempts all the same, as one that never ran.
     */
    void attempt(AcceptedMessage held, AcceptedMessage.Attempt attempt) throws IOException {
        held.attempts.add(attempt);
        attempt.neverRan = true;
        byte[] record = attemptFrame(held, attempt);
        writeNow(record);
        count(held, record.length);
        attempt.neverRan = false;
        attempt.record = held.attemptRecords++;
    }

    /** An end proved that the attempt never ran. */
    void neverRan(AcceptedMessage held, int number) {
        AcceptedMessage.Attempt attempt = held.attempts.get(number);
        attempt.neverRan = true;
        if (attempt.record != AcceptedMessage.Attempt.UNRECORDED) {
            append(held, neverRanFrame(held, attempt.record));
        }
    }

    /** The message has ended by a notice that is still to be heard. */
    void owed(AcceptedMessage held, AcceptedMessage.Notice notice) {
        held.owed = Optional.of(notice);
        markEnded(held.id, false);
        append(held, owedFrame(held, notice));
    }

    /** Nothing more is owed for the message. */
    void ended(AcceptedMessage held) {
        if (live.remove(held.number) != null) {
            liveBytes -= held.bytes;
            markIfTried(held);
            writeInTime(endedFrame(held));
        }
    }

    /** Whether the message with this id was delivered, if it is one of those that were over last. */
    Optional<Boolean> deliveredBefore(String id) {
        return Optional.ofNullable(over.get(id));
    }

    /** Ids of messages that were over last, the oldest first, and whether they were delivered. */
    Map<String, Boolean> over() {
        return new LinkedHashMap<>(over);
    }

    /** A message of this id is over: it must not be taken on again, neither in this life nor in a later one. */
    void markEnded(String id, boolean delivered) {
        if (over.put(id, delivered) == null) {
            overBytes += overSize(id);
            liveBytes += overSize(id);
        }
        while (over.size() > MOST_OVER || overBytes > bound / OVER_PART) {
            String oldest = over.keySet().iterator().next();
            over.remove(oldest);
            overBytes -= overSize(oldest);
            liveBytes -= overSize(oldest);
        }
    }

    /** One that nothing was ever done for was not taken on, as far as its client knows. */
    private void markIfTried(AcceptedMessage held) {
        if (held.owed.isPresent() || !held.attempts.isEmpty()) {
            markEnded(held.id, held.owed.isEmpty());
        }
    }

    private static int overSize(String id) {
        return overFrame(id, true).length;
    }

    /** An endpoint's state, since when by {@link MachineClock#nanos}, and the rate that it carried before. */
    record Health(Relay.EndpointState state, long sinceNanos, double carriedPerMs) {
        /** A state that has stood for so long. */
        static Health since(double agoMs, Relay.EndpointState state, double carriedPerMs, MachineClock clock) {
            return new Health(state, clock.nanos() - (long) (agoMs * 1e6), carriedPerMs);
        }

        /** How long it has stood. */
        double ageMs(MachineClock clock) {
            return Math.max(0, (clock.nanos() - sinceNanos) / 1e6);
        }
    }

    /** What is known of an endpoint has changed; one that is in service, or forgotten, takes up no room. */
    void health(String endpoint, Health now) {
        byte[] record = healthFrame(endpoint, now);
        writeInTime(record);
        keep(endpoint, now, record.length);
    }

    /** What was known when the last process ended, of endpoints that were not in service. */
    Map<String, Health> health() {
        return new TreeMap<>(health);
    }

    private void keep(String endpoint, Health now, int bytes) {
        boolean before = health.remove(endpoint) != null;
        if (now.state() != Relay.EndpointState.UP) {
            health.put(endpoint, now);
        }
        liveBytes += (health.containsKey(endpoint) ? bytes : 0) - (before ? bytes : 0);
    }

    /** Leaves the file to another process, which reads it all: only what is live is left in it. */
    void handOver() {
        try {
            compact();
        } catch (IOException e) {
            Log.write("the journal is handed over as it is: " + e.getMessage());
        }
        close();
    }

    /** Bytes of the file now. */
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
            // Where the other records have a message's number.
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
            out.writeDouble(notice.waitMs());
        });
    }

    private static byte[] overFrame(String id, boolean delivered) {
        return JournalFrames.frame(out -> {
            out.writeByte(OVER);
            // Where the other records have a message's number.
            out.writeLong(0);
            out.writeUTF(id);
            out.writeBoolean(delivered);
        });
    }

    private static byte[] healthFrame(String endpoint, Health health) {
        return JournalFrames.frame(out -> {
            out.writeByte(HEALTH);
            // Where the other records have a message's number.
            out.writeLong(health.sinceNanos());
            out.writeUTF(endpoint);
            out.writeByte(health.state().ordinal());
            out.writeDouble(health.carriedPerMs());
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

    /** Writes a record, or throws: then what it stands for must not be done. */
    private void writeNow(byte[] record) throws IOException {
        if (!file.isOpen()) {
            throw new ClosedChannelException();
        }
        if (!catchUp()) {
            throw new IOException("the journal can't be written now");
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

    /** Writes a record of what has happened: now, or as soon as that is possible. */
    private void writeInTime(byte[] record) {
        if (!file.isOpen()) {
            // It is another process's by now, or this one ends.
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
            // All that is known is in memory.
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
        for (Map.Entry<String, Health> known : health.entrySet()) {
            bytes.write(healthFrame(known.getKey(), known.getValue()));
        }
        for (Map.Entry<String, Boolean> known : over.entrySet()) {
            bytes.write(overFrame(known.getKey(), known.getValue()));
        }
        for (AcceptedMessage held : live.values()) {
            bytes.write(takenFrame(held));
            for (AcceptedMessage.Attempt attempt : held.attempts) {
                if (attempt.record == AcceptedMessage.Attempt.UNRECORDED) {
                    continue;
                }
                bytes.write(attemptFrame(held, attempt));
                if (attempt.neverRan) {
                    bytes.write(neverRanFrame(held, attempt.record));
                }
            }
            if (held.owed.isPresent()) {
                bytes.write(owedFrame(held, held.owed.get()));
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
            // One that is ahead of this one was not of the same boot, whatever its name.
            String boot = in.readUTF();
            boolean same = !boot.isEmpty() && boot.equals(clock.bootId()) && number <= clock.nanos();
            base = same ? TimeBase.THIS_BOOT : TimeBase.OTHER_BOOT;
            return;
        }
        if (type == HEALTH) {
            String endpoint = in.readUTF();
            Relay.EndpointState state = Relay.EndpointState.values()[in.readByte()];
            keep(endpoint, health(state, number, in.readDouble()), length);
            return;
        }
        if (type == OVER) {
            markEnded(in.readUTF(), in.readBoolean());
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
                AcceptedMessage.Attempt attempt = attempt(in.readUTF(), in.readLong());
                held.attempts.add(attempt);
                attempt.record = held.attemptRecords++;
            }
            case NEVER_RAN -> held.attempts.get(in.readInt()).neverRan = true;
            case OWED -> {
                held.owed = Optional.of(new AcceptedMessage.Notice(in.readBoolean(), in.readDouble()));
                held.over = true;
                markEnded(held.id, false);
            }
            case ENDED -> {
                live.remove(number);
                liveBytes -= held.bytes;
                markIfTried(held);
                return;
            }
            default -> throw new IOException("unknown record " + type);
        }
        count(held, length);
    }

    /** In another boot it is generous: trying for too long does less harm than giving up what is owed. */
    private long deadlineNanos(long recorded) {
        return switch (base) {
            case THIS_BOOT -> recorded;
            case OTHER_BOOT -> clock.nanos() + ANY_SPAN_NANOS;
            case WALL_CLOCK -> clock.nanos() + TimeUnit.MILLISECONDS.toNanos(recorded - clock.wallMillis());
        };
    }

    /** In another boot it is careful: it counts as older than any window for repeats. */
    private AcceptedMessage.Attempt attempt(String endpoint, long recorded) {
        return switch (base) {
            case THIS_BOOT -> AcceptedMessage.Attempt.sentAt(endpoint, recorded, clock);
            case OTHER_BOOT -> AcceptedMessage.Attempt.ofUnknownAge(endpoint, clock);
            case WALL_CLOCK -> AcceptedMessage.Attempt.sentAgo(endpoint, clock.wallMillis() - recorded, clock);
        };
    }

    /** In another boot it is careful: a ramp begins anew. */
    private Health health(Relay.EndpointState state, long recorded, double carriedPerMs) {
        return switch (base) {
            case THIS_BOOT -> new Health(state, recorded, carriedPerMs);
            case OTHER_BOOT -> Health.since(0, state, carriedPerMs, clock);
            case WALL_CLOCK -> Health.since(clock.wallMillis() - recorded, state, carriedPerMs, clock);
        };
    }

    private void count(AcceptedMessage held, int length) {
        held.bytes += length;
        liveBytes += length;
    }
}
