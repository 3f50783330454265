package kestreldeal.scale.fleet;

/**
 * One run of a hollow fleet.
 *
 * @param senders hollow senders, which share all destinations
 * @param destinations destinations
 * @param rate messages a second for a destination, in the mean and from all senders together
 * @param seconds simulated time in which messages come; what is open then may still end
 * @param seed everything is drawn from it
 * @param falls a cold destination that gets more than its budget falls over; otherwise it stands, and its
 *     worst window is seen whole
 */
record FleetSettings(int senders, int destinations, double rate, double seconds, long seed, Scenario scenario,
                     boolean falls, Model model) {
    /** Checks that there is something to run. */
    FleetSettings {
        if (senders < 1 || destinations < 1 || !(rate > 0) || !(seconds > 0)) {
            throw new IllegalArgumentException("senders, destinations, rate and seconds are above 0");
        }
    }

    double messagesPerSecond() {
        return rate * destinations;
    }
}
