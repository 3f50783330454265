package kestreldeal.scale.fleet;

import java.util.Arrays;
import java.util.Random;

/** Numbers from 0 on that are drawn by their parts of the whole. */
final class Parts {
    private final double[] sums;

    /** Parts by number, each 0 or more, in any measure. */
    Parts(double[] parts) {
        sums = parts.clone();
        Arrays.parallelPrefix(sums, Double::sum);
    }

    /** So many, each smaller than the one before by this exponent of the rank. */
    static Parts zipf(int count, double exponent) {
        double[] parts = new double[count];
        Arrays.setAll(parts, rank -> Math.pow(rank + 1.0, -exponent));
        return new Parts(parts);
    }

    /** The part of one, by the whole. */
    double of(int number) {
        return (sums[number] - (number == 0 ? 0 : sums[number - 1])) / sums[sums.length - 1];
    }

    int draw(Random random) {
        double drawn = random.nextDouble() * sums[sums.length - 1];
        int found = Arrays.binarySearch(sums, drawn);
        return Math.min(sums.length - 1, found < 0 ? -found - 1 : found + 1);
    }
}
