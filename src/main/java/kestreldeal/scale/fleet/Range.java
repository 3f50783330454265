package kestreldeal.scale.fleet;

import java.util.Random;

/** Figures are drawn evenly from here; the unit is that of the figure. */
record Range(double least, double most) {
    /** Checks that there is something between the two. */
    Range {
        if (!(least <= most)) {
            throw new IllegalArgumentException("a range goes from the least to the most: " + least + ", " + most);
        }
    }

    double draw(Random random) {
        return least + (most - least) * random.nextDouble();
    }
}
