package kestreldeal.scale.fleet;

import java.util.Random;

/** Network delays between zones, and partitions: a packet that would cross a partition is dropped silently. */
final class SimulatedNetwork {
    private static final int NO_REGION = -1;

    private final FleetModel model;
    private final Random random;
    private int isolatedRegion = NO_REGION;

    SimulatedNetwork(FleetModel model, Random random) {
        this.model = model;
        this.random = random;
    }

    /** Draws a one-way delay between two zones, in milliseconds. */
    double drawDelayMs(int fromZone, int toZone) {
        int distance = fromZone == toZone ? 0 : model.regionOf(fromZone) == model.regionOf(toZone) ? 1 : 2;
        return model.networkDelayMs().get(distance) * (1 + model.networkJitter() * random.nextDouble());
    }

    /** Separates a region from all others. */
    void isolate(int region) {
        isolatedRegion = region;
    }

    void heal() {
        isolatedRegion = NO_REGION;
    }

    boolean isConnected(int fromZone, int toZone) {
        return model.regionOf(fromZone) == model.regionOf(toZone)
                || model.regionOf(fromZone) != isolatedRegion && model.regionOf(toZone) != isolatedRegion;
    }
}
