package kestreldeal.scale.fleet;

import java.util.Arrays;
import java.util.Random;

/** Draws numbers from 0 up with given weights. */
final class WeightedSampler {
    private final double[] sums;

    /** Creates a sampler from the weight of each number; weights are at least 0 and need not add up to 1. */
    WeightedSampler(double[] parts) {
        sums = parts.clone();
        Arrays.parallelPrefix(sums, Double::sum);
    }

    /** Creates a sampler with weights of a Zipf distribution: the weight falls with this power of the rank. */
    static WeightedSampler zipf(int count, double exponent) {
        double[] parts = new double[count];
        Arrays.setAll(parts, rank -> Math.pow(rank + 1.0, -exponent));
        return new WeightedSampler(parts);
    }

    /** The probability of a number. */
    double of(int number) {
        return (sums[number] - (number == 0 ? 0 : sums[number - 1])) / sums[sums.length - 1];
    }

    int draw(Random random) {
        double drawn = random.nextDouble() * sums[sums.length - 1];
        int found = Arrays.binarySearch(sums, drawn);
        return Math.min(sums.length - 1, found < 0 ? -found - 1 : found + 1);
    }
}
