package kestreldeal.scale.fleet;

import java.util.Arrays;
import java.util.Random;

/** Draws numbers from 0 up with given weights. */
final class WeightedSampler {
    private final double[] cumulativeWeights;

    /** Creates a sampler from the weight of each number; weights are at least 0 and need not add up to 1. */
    WeightedSampler(double[] weights) {
        cumulativeWeights = weights.clone();
        Arrays.parallelPrefix(cumulativeWeights, Double::sum);
    }

    /** Creates a sampler with weights of a Zipf distribution: the weight falls with this power of the rank. */
    static WeightedSampler zipf(int count, double exponent) {
        double[] weights = new double[count];
        Arrays.setAll(weights, rank -> Math.pow(rank + 1.0, -exponent));
        return new WeightedSampler(weights);
    }

    /** The probability of a number. */
    double probability(int number) {
        return (cumulativeWeights[number] - (number == 0 ? 0 : cumulativeWeights[number - 1]))
                / cumulativeWeights[cumulativeWeights.length - 1];
    }

    int draw(Random random) {
        double target = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int index = Arrays.binarySearch(cumulativeWeights, target);
        return Math.min(cumulativeWeights.length - 1, index < 0 ? -index - 1 : index + 1);
    }
}
