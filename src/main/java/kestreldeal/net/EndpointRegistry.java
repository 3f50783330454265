package kestreldeal.net;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Maps the ids that endpoints have on the list to the numbers by which the decision module knows them, and records
 * which endpoints the list names at present. The cost of a change depends on the changed and the evicted entries, not
 * on the length of the list.
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
    /** Endpoints that the list does not name, with the {@link System#nanoTime} of their removal; the oldest first. */
    private final Map<RegisteredEndpoint, Long> removedSince = new LinkedHashMap<>();
    private final int maxEndpoints;
    private long nextNumber;
    private int updateCount;
    private int skippedCount;

    /** The number of endpoints is limited, since each takes memory here, in the client and in the decision module. */
    EndpointRegistry(int maxEndpoints) {
        this.maxEndpoints = maxEndpoints;
    }

    /** Returns the number of an endpoint; a new one gets a new number, and counts as removed until a list names it. */
    long getOrAssignNumber(String id, long nowNanos) {
        return getOrCreate(id, nowNanos).number;
    }

    private RegisteredEndpoint getOrCreate(String id, long nowNanos) {
        RegisteredEndpoint endpoint = byId.get(id);
        if (endpoint == null) {
            endpoint = new RegisteredEndpoint(id, nextNumber++);
            byId.put(id, endpoint);
            byNumber.put(endpoint.number, endpoint);
            removedSince.put(endpoint, nowNanos);
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
        Destination destination = byNumber.get(number).destination;
        return destination == null ? OptionalLong.empty() : OptionalLong.of(destination.id);
    }

    String id(long number) {
        return byNumber.get(number).id;
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
    Optional<RegisteredEndpoint> findDisplaced(Discovery.Entry entry, long nowNanos) {
        RegisteredEndpoint endpoint = byId.get(entry.id());
        if (entry.removed() || endpoint == null || endpoint.destination == null
                || endpoint.destination.id == entry.destination()) {
            return Optional.empty();
        }
        byId.remove(endpoint.id);
        removedSince.putIfAbsent(endpoint, nowNanos);
        return Optional.of(endpoint);
    }

    /** Registers an entry of the update and returns the endpoint's number; empty if it is new and there is no room. */
    OptionalLong register(Discovery.Entry entry, long nowNanos) {
        if (byId.size() >= maxEndpoints && !byId.containsKey(entry.id())) {
            skippedCount++;
            return OptionalLong.empty();
        }
        RegisteredEndpoint endpoint = getOrCreate(entry.id(), nowNanos);
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
            removedSince.putIfAbsent(endpoint, nowNanos);
        } else {
            removedSince.remove(endpoint);
        }
        return OptionalLong.of(endpoint.number);
    }

    /**
     * Ends an update that was a full list: marks the endpoints that it did not name as removed, and returns those that
     * were not removed before.
     */
    List<RegisteredEndpoint> markUnnamedRemoved(long nowNanos) {
        List<RegisteredEndpoint> newlyRemoved = new ArrayList<>();
        for (RegisteredEndpoint endpoint : byId.values()) {
            if (endpoint.lastUpdate != updateCount && removedSince.putIfAbsent(endpoint, nowNanos) == null) {
                newlyRemoved.add(endpoint);
            }
        }
        return newlyRemoved;
    }

    /** Evicts and returns the endpoints that were removed longer ago than this. */
    List<RegisteredEndpoint> evictRemoved(long nowNanos, long maxAgeNanos) {
        List<RegisteredEndpoint> evicted = new ArrayList<>();
        Iterator<Map.Entry<RegisteredEndpoint, Long>> oldestFirst = removedSince.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<RegisteredEndpoint, Long> oldest = oldestFirst.next();
            if (nowNanos - oldest.getValue() <= maxAgeNanos) {
                break;
            }
            oldestFirst.remove();
            evicted.add(oldest.getKey());
            byId.remove(oldest.getKey().id, oldest.getKey());
            byNumber.remove(oldest.getKey().number);
        }
        return evicted;
    }
}
