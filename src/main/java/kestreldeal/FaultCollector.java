package kestreldeal;

/**
 * Runs steps that must all be run although one of them may throw, such as the release of a slot after the result of
 * a call has been processed, and throws the first exception at the end.
 */
public final class FaultCollector {
    private RuntimeException first;

    /** Runs all steps, and then throws the first exception of any of them. */
    public static void runAll(Runnable... steps) {
        FaultCollector faults = new FaultCollector();
        for (Runnable step : steps) {
            faults.run(step);
        }
        faults.rethrow();
    }

    /** Runs a step; returns whether it did not throw. */
    public boolean run(Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException fault) {
            if (first == null) {
                first = fault;
            } else if (first != fault) {
                first.addSuppressed(fault);
            }
            return false;
        }
    }

    /** Throws the first exception of the steps, with the others as suppressed ones; returns if there was none. */
    public void rethrow() {
        if (first != null) {
            throw first;
        }
    }
}
