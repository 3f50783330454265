package kestreldeal.scale.fleet;

import java.util.Locale;

/** An invariant does not hold; the text names the message, if it is one's, and the time. */
final class Broken extends RuntimeException {
    private static final long serialVersionUID = 1;

    Broken(double nowMs, String what) {
        super(String.format(Locale.ROOT, "broken at %.3f s: %s", nowMs / 1000, what));
    }
}
