package kestreldeal.net;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Maps the ids that endpoints have on the list to the numbers by which the decision module knows them, and records
 * which endpoints the list names at present. An endpoint that left the list keeps its number until the decision module
 * has forgotten it, see {@link #forget}. The cost of a change depends on the changed entries, not on the length of the
 * list.
 */
final class EndpointRegistry {
    /** An endpoint that the list or the journal has named. Lists may be long, so it is kept small. */
    static final class RegisteredEndpoint {
        private final String id;
        private final long number;
        /** The last update that named it, as counted by {@link EndpointRegistry#updateCount}. */
        private int lastUpdate = -1;
        private Destination destination;

        private RegisteredEndpoint(String id, long number) {
            this.id = id;
            this.number = number;
        }

        String id() {
            return id;
        }

        long number() {
            return number;
        }

        /** The destination, for an endpoint that a list has named. */
        long destination() {
            return destination.id;
        }

        /** The rate in the latest entry for any endpoint of its destination. */
        double listedRate() {
            return destination.listedRate;
        }
    }

    private static final class Destination {
        private final long id;
        private double listedRate;

        Destination(long number) {
            this.id = number;
        }
    }

    private final Map<String, RegisteredEndpoint> byId = new HashMap<>();
    private final LongObjectMap<RegisteredEndpoint> byNumber = new LongObjectHashMap<>();
    private final LongObjectMap<Destination> destinations = new LongObjectHashMap<>();
    private final Set<RegisteredEndpoint> unlisted = new HashSet<>();
    private final int maxEndpoints;
    private long nextNumber;
    private int updateCount;
    private int skippedCount;

    /** The number of endpoints is limited, since each takes memory here, in the client and in the decision module. */
    EndpointRegistry(int maxEndpoints) {
        this.maxEndpoints = maxEndpoints;
    }

    /** Returns the number of an endpoint; a new one gets a new number, and counts as removed until a list names it. */
    long getOrAssignNumber(String id) {
        return getOrCreate(id).number;
    }

    private RegisteredEndpoint getOrCreate(String id) {
        RegisteredEndpoint endpoint = byId.get(id);
        if (endpoint == null) {
            endpoint = new RegisteredEndpoint(id, nextNumber++);
            byId.put(id, endpoint);
            byNumber.put(endpoint.number, endpoint);
            unlisted.add(endpoint);
        }
        return endpoint;
    }

    /** Returns the number of an endpoint, if it is known. */
    OptionalLong findNumber(String id) {
        RegisteredEndpoint endpoint = byId.get(id);
        return endpoint == null ? OptionalLong.empty() : OptionalLong.of(endpoint.number);
    }

    /** Returns the destination of an endpoint, if a list has named it. */
    OptionalLong findDestination(long number) {
        RegisteredEndpoint endpoint = byNumber.get(number);
        return endpoint == null || endpoint.destination == null ? OptionalLong.empty()
                : OptionalLong.of(endpoint.destination.id);
    }

    /** Returns the id of an endpoint that has not been forgotten. */
    String id(long number) {
        return findId(number).orElseThrow(() -> new IllegalArgumentException("unknown endpoint number " + number));
    }

    /** Returns the id of an endpoint, unless it has been forgotten. */
    Optional<String> findId(long number) {
        return Optional.ofNullable(byNumber.get(number)).map(RegisteredEndpoint::id);
    }

    /** Whether the endpoint with this number is the one that has its id now; see {@link #findDisplaced}. */
    boolean ownsId(long number) {
        RegisteredEndpoint endpoint = byNumber.get(number);
        return endpoint != null && byId.get(endpoint.id) == endpoint;
    }

    /** Whether a list has ever named this destination. */
    boolean knowsDestination(long destination) {
        return destinations.containsKey(destination);
    }

    /** Starts an update; {@link #register} is called for each of its entries. */
    void beginUpdate() {
        updateCount++;
        skippedCount = 0;
    }

    /** Entries of the current update that were skipped because the registry is full. */
    int skippedCount() {
        return skippedCount;
    }

    /**
     * Returns the endpoint that an entry, which is about to be registered, displaces: one with the same id and another
     * destination. It counts as removed, and the endpoint that has the id now gets a new number.
     */
    Optional<RegisteredEndpoint> findDisplaced(Discovery.Entry entry) {
        RegisteredEndpoint endpoint = byId.get(entry.id());
        if (entry.removed() || endpoint == null || endpoint.destination == null
                || endpoint.destination.id == entry.destination()) {
            return Optional.empty();
        }
        byId.remove(endpoint.id);
        unlisted.add(endpoint);
        return Optional.of(endpoint);
    }

    /** Registers an entry of the update and returns the endpoint's number; empty if it is new and there is no room. */
    OptionalLong register(Discovery.Entry entry) {
        if (byId.size() >= maxEndpoints && !byId.containsKey(entry.id())) {
            skippedCount++;
            return OptionalLong.empty();
        }
        RegisteredEndpoint endpoint = getOrCreate(entry.id());
        endpoint.lastUpdate = updateCount;
        Destination destination = destinations.get(entry.destination());
        if (destination == null) {
            destination = new Destination(entry.destination());
            destinations.put(entry.destination(), destination);
        }
        destination.listedRate = entry.listedRate();
        if (!entry.removed() || endpoint.destination == null) {
            endpoint.destination = destination;
        }
        if (entry.removed()) {
            unlisted.add(endpoint);
        } else {
            unlisted.remove(endpoint);
        }
        return OptionalLong.of(endpoint.number);
    }

    /**
     * Ends an update that was a full list: marks the endpoints that it did not name as removed, and returns those that
     * were not removed before.
     */
    List<RegisteredEndpoint> markUnnamedRemoved() {
        List<RegisteredEndpoint> newlyRemoved = new ArrayList<>();
        for (RegisteredEndpoint endpoint : byId.values()) {
            if (endpoint.lastUpdate != updateCount && unlisted.add(endpoint)) {
                newlyRemoved.add(endpoint);
            }
        }
        return newlyRemoved;
    }

    /** Forgets an endpoint, and returns its id if it still had that. Its number is never used again. */
    Optional<String> forget(long number) {
        RegisteredEndpoint endpoint = byNumber.remove(number);
        unlisted.remove(endpoint);
        boolean hadId = endpoint != null && byId.remove(endpoint.id, endpoint);
        return hadId ? Optional.of(endpoint.id) : Optional.empty();
    }
}
