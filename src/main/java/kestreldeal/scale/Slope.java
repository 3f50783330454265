package kestreldeal.scale;

import java.util.List;
import java.util.Map;

/**
 * A set of costs that is measured at several sizes, so that their growth with the size can be fitted.
 *
 * @param name name on the command line and in results
 * @param sizeMeaning what the size counts
 * @param defaultSizes default sizes, which span two decades where that is feasible
 * @param quickSizes few and small sizes, for {@code --quick}
 * @param fittedValues names of the measured values to fit; each name ends with its unit
 * @param measurement measures all values at one size
 */
record Slope(String name, String sizeMeaning, List<Integer> defaultSizes, List<Integer> quickSizes,
             List<String> fittedValues, Measurement measurement) {
    interface Measurement {
        /**
         * Measures once at one size.
         *
         * @return values by name, including values that are reported only and not fitted
         * @throws MeasurementFailedException if nothing could be measured at this size, with the reason
         * @throws Exception if the tool itself fails
         */
        Map<String, Object> measure(MeasurementSetup setup, int size, long seed) throws Exception;
    }

    /** The measured program did not do what was to be measured; this is recorded as the result at this size. */
    static final class MeasurementFailedException extends Exception {
        private static final long serialVersionUID = 1;

        MeasurementFailedException(String reason) {
            super(reason);
        }
    }
}
