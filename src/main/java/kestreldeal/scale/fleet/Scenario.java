package kestreldeal.scale.fleet;

/** The faults that are injected in a run; in every scenario some endpoints are also replaced gracefully. */
enum Scenario {
    /** No faults. */
    STEADY,
    /** 2.1% of the destinations, and at least one, are in an outage at any time. */
    DOWN,
    /** Senders are restarted, half of them gracefully; also, the senders of one rack are killed at the same time. */
    RESTARTS,
    /** A zone with its senders and endpoints fails and comes back. */
    ZONE,
    /** A network partition separates one region from the others for 40% of the run. */
    REGIONS,
    /** 30% of the destinations are in an outage and 70% of the senders down, and all come back at the same time. */
    RETURN;

    @Override
    public String toString() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
