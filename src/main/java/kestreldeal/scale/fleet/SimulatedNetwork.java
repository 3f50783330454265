package kestreldeal.scale.fleet;

import java.util.Random;

/** Network delays between zones, and partitions: a packet that would cross a partition is dropped silently. */
final class SimulatedNetwork {
    private static final int NONE = -1;

    private final FleetModel model;
    private final Random random;
    private int isolated = NONE;

    SimulatedNetwork(FleetModel model, Random random) {
        this.model = model;
        this.random = random;
    }

    /** Draws a one-way delay between two zones, in milliseconds. */
    double delay(int from, int to) {
        int distance = from == to ? 0 : model.region(from) == model.region(to) ? 1 : 2;
        return model.oneWayMs().get(distance) * (1 + model.jitter() * random.nextDouble());
    }

    /** Separates a region from all others. */
    void isolate(int region) {
        isolated = region;
    }

    void heal() {
        isolated = NONE;
    }

    boolean passes(int from, int to) {
        return model.region(from) == model.region(to)
                || model.region(from) != isolated && model.region(to) != isolated;
    }
}
