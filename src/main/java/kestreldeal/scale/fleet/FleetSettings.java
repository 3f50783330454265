package kestreldeal.scale.fleet;

/**
 * Settings of one simulation run.
 *
 * @param senderCount number of senders, which share all destinations
 * @param destinationCount number of destinations
 * @param ratePerDestination mean messages per second for each destination, from all senders together
 * @param seconds simulated time in which clients submit messages; pending messages can complete after it
 * @param seed seed of all random numbers
 * @param scenario injected faults
 * @param collapseOnOverload whether a recovering destination collapses when it gets more calls than its load budget;
 *     otherwise it serves them, so that the whole worst window is seen
 * @param model parameters of the simulated environment
 */
record FleetSettings(int senderCount, int destinationCount, double ratePerDestination, double seconds, long seed,
                     Scenario scenario, boolean collapseOnOverload, FleetModel model) {
    /** Checks that the numbers are positive. */
    FleetSettings {
        if (senderCount < 1 || destinationCount < 1 || !(ratePerDestination > 0) || !(seconds > 0)) {
            throw new IllegalArgumentException("senders, destinations, rate and seconds must be above 0");
        }
    }

    double totalMessagesPerSecond() {
        return ratePerDestination * destinationCount;
    }
}
