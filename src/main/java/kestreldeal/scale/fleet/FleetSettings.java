package kestreldeal.scale.fleet;

/**
 * Settings of one simulation run.
 *
 * @param senders number of senders, which share all destinations
 * @param destinations number of destinations
 * @param rate mean messages per second for each destination, from all senders together
 * @param seconds simulated time in which clients submit messages; pending messages can complete after it
 * @param seed seed of all random numbers
 * @param scenario injected faults
 * @param falls whether a recovering destination collapses when it gets more calls than its load budget; otherwise it
 *     serves them, so that the whole worst window is seen
 * @param model parameters of the simulated environment
 */
record FleetSettings(int senders, int destinations, double rate, double seconds, long seed, Scenario scenario,
                     boolean falls, FleetModel model) {
    /** Checks that the numbers are positive. */
    FleetSettings {
        if (senders < 1 || destinations < 1 || !(rate > 0) || !(seconds > 0)) {
            throw new IllegalArgumentException("senders, destinations, rate and seconds must be above 0");
        }
    }

    double messagesPerSecond() {
        return rate * destinations;
    }
}
