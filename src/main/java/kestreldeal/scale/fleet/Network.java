package kestreldeal.scale.fleet;

import java.util.Random;

/** Ways between zones, and cuts: what crosses one is gone, and nothing is said. */
final class Network {
    private static final int NONE = -1;

    private final Model model;
    private final Random random;
    private int isolated = NONE;

    Network(Model model, Random random) {
        this.model = model;
        this.random = random;
    }

    /** One way, in milliseconds, drawn anew each time. */
    double delay(int from, int to) {
        int distance = from == to ? 0 : model.region(from) == model.region(to) ? 1 : 2;
        return model.oneWayMs().get(distance) * (1 + model.jitter() * random.nextDouble());
    }

    /** Cuts a region off from all others. */
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
