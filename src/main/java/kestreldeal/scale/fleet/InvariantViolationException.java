package kestreldeal.scale.fleet;

import java.util.Locale;

/** Violation of an invariant; its text has the simulated time and the id of the message, if one is concerned. */
final class InvariantViolationException extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolationException(double nowMs, String description) {
        super(String.format(Locale.ROOT, "invariant violated at %.3f s: %s", nowMs / 1000, description));
    }
}
