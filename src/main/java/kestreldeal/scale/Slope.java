package kestreldeal.scale;

import java.util.List;
import java.util.Map;

/**
 * One thing that is measured at several sizes.
 *
 * @param name as it is asked for on the command line
 * @param by what the size counts
 * @param sizes over two decades where it fits
 * @param quick few and small ones
 * @param fitted the names of the figures that are fitted, their unit at the end
 */
record Slope(String name, String by, List<Integer> sizes, List<Integer> quick, List<String> fitted,
             Measurement measurement) {
    /** One run at one size. */
    interface Measurement {
        /**
         * Measures once.
         *
         * @return figures by name; what is not fitted is told all the same
         * @throws Failed if there is no figure at this size, with the reason
         * @throws Exception if the tool itself is at fault
         */
        Map<String, Object> measure(Setup setup, int size, long seed) throws Exception;
    }

    /** What was to be measured did not happen: a result, too. */
    static final class Failed extends Exception {
        private static final long serialVersionUID = 1;

        Failed(String why) {
            super(why);
        }
    }
}
