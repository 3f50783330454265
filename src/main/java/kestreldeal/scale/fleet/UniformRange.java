package kestreldeal.scale.fleet;

import java.util.Random;

/** Bounds of a uniform distribution, in the unit of the parameter that it belongs to. */
record UniformRange(double min, double max) {
    /** Checks the order of the bounds. */
    UniformRange {
        if (!(min <= max)) {
            throw new IllegalArgumentException("the lower bound of a range is above the upper: " + min + ", " + max);
        }
    }

    double draw(Random random) {
        return min + (max - min) * random.nextDouble();
    }
}
