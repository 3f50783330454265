package kestreldeal.scale.fleet;

import java.util.Random;

/** Bounds of a uniform distribution, in the unit of the parameter that it belongs to. */
record UniformRange(double least, double most) {
    /** Checks the order of the bounds. */
    UniformRange {
        if (!(least <= most)) {
            throw new IllegalArgumentException("the lower bound of a range is above the upper: " + least + ", " + most);
        }
    }

    double draw(Random random) {
        return least + (most - least) * random.nextDouble();
    }
}
