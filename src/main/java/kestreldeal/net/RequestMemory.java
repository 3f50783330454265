package kestreldeal.net;

/** Counts the memory that received requests take, over all connections, until each of them has been handled. */
final class RequestMemory {
    private final long limitBytes;
    private long heldBytes;

    RequestMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Records that a connection now holds more, or fewer, bytes than before. */
    void change(long bytes) {
        heldBytes += bytes;
    }

    /** Whether memory has to be freed before more is read. */
    boolean isExceeded() {
        return heldBytes > limitBytes;
    }

    long heldBytes() {
        return heldBytes;
    }
}
