package kestreldeal.scale.fleet;

/** What goes wrong in a run; in each, some endpoints are replaced in order. */
enum Scenario {
    /** Nothing else. */
    STEADY,
    /** 2.1% of the destinations are down at any time, one at least. */
    DOWN,
    /** Senders are restarted, half of them in order, and a rack of them at once. */
    RESTARTS,
    /** A zone is lost with its senders and endpoints, and comes back. */
    ZONE,
    /** A region and the rest of the world are cut off from each other for 40% of the run. */
    REGIONS,
    /** Three in ten destinations are out and seven in ten senders dead, and all come back at one moment. */
    RETURN;

    @Override
    public String toString() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
