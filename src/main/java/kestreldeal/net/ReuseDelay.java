package kestreldeal.net;

/**
 * How long a connection rests after a response before it carries the next call. An endpoint may send more than belongs
 * to its response, such as a second copy of it. HTTP/1.1 responses have no numbers, so what arrives after the next call
 * was written can't be told from the response to that call. Bytes that are sent together arrive as far apart as the
 * delays of the network vary, and that is a share of the time in which an endpoint can be reached and respond.
 */
final class ReuseDelay {
    /** Lower bound, also used while no response time is known. */
    static final long MIN_MS = 10;
    /** Upper bound: an endpoint that is slow to respond need not be far away. */
    static final long MAX_MS = 100;
    /**
     * Share of the fastest response time. If one-way delays vary by up to 34 percent either way, two packets arrive up
     * to 0.68 delays apart, and the fastest response takes at least 1.32 of them.
     */
    static final double RESPONSE_TIME_SHARE = 0.6;

    private ReuseDelay() {
    }

    /** The delay for an endpoint whose fastest response took this long; infinite if none is known. */
    static long ofFastestResponse(double responseMs) {
        if (responseMs == Double.POSITIVE_INFINITY) {
            return MIN_MS;
        }
        return (long) Math.ceil(Math.max(MIN_MS, Math.min(MAX_MS, responseMs * RESPONSE_TIME_SHARE)));
    }
}
