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
        /** The last update that named it, as counted by {@link EndpointRegistry#answer}. */
        private int namedIn = -1;
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
            return destination.number;
        }

        /** The rate in the latest entry for any endpoint of its destination. */
        double listedRate() {
            return destination.rate;
        }
    }

    private static final class Destination {
        private final long number;
        private double rate;

        Destination(long number) {
            this.number = number;
        }
    }

    private final Map<String, RegisteredEndpoint> byId = new HashMap<>();
    private final LongObjectMap<RegisteredEndpoint> byNumber = new LongObjectHashMap<>();
    private final LongObjectMap<Destination> destinations = new LongObjectHashMap<>();
    /** Endpoints that the list does not name, with the {@link System#nanoTime} of their removal; the oldest first. */
    private final Map<RegisteredEndpoint, Long> goneSince = new LinkedHashMap<>();
    private final int most;
    private long next;
    private int answer;
    private int passedOver;

    /** The number of endpoints is limited, since each takes memory here, in the client and in the decision module. */
    EndpointRegistry(int most) {
        this.most = most;
    }

    /** Returns the number of an endpoint; a new one gets a new number, and counts as removed until a list names it. */
    long getOrAssignNumber(String id, long nowNanos) {
        return listed(id, nowNanos).number;
    }

    private RegisteredEndpoint listed(String id, long nowNanos) {
        RegisteredEndpoint known = byId.get(id);
        if (known == null) {
            known = new RegisteredEndpoint(id, next++);
            byId.put(id, known);
            byNumber.put(known.number, known);
            goneSince.put(known, nowNanos);
        }
        return known;
    }

    /** Returns the number of an endpoint, if it is known. */
    OptionalLong findNumber(String id) {
        RegisteredEndpoint known = byId.get(id);
        return known == null ? OptionalLong.empty() : OptionalLong.of(known.number);
    }

    /** Returns the destination of an endpoint, if a list has named it. */
    OptionalLong findDestination(long number) {
        Destination destination = byNumber.get(number).destination;
        return destination == null ? OptionalLong.empty() : OptionalLong.of(destination.number);
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
        answer++;
        passedOver = 0;
    }

    /** Entries of the current update that were skipped because the registry is full. */
    int skippedCount() {
        return passedOver;
    }

    /**
     * Returns the endpoint that an entry, which is about to be registered, displaces: one with the same id and another
     * destination. It counts as removed, and the endpoint that has the id now gets a new number.
     */
    Optional<RegisteredEndpoint> findDisplaced(Discovery.Entry entry, long nowNanos) {
        RegisteredEndpoint known = byId.get(entry.id());
        if (entry.removed() || known == null || known.destination == null
                || known.destination.number == entry.destination()) {
            return Optional.empty();
        }
        byId.remove(known.id);
        goneSince.putIfAbsent(known, nowNanos);
        return Optional.of(known);
    }

    /** Registers an entry of the update and returns the endpoint's number; empty if it is new and there is no room. */
    OptionalLong register(Discovery.Entry entry, long nowNanos) {
        if (byId.size() >= most && !byId.containsKey(entry.id())) {
            passedOver++;
            return OptionalLong.empty();
        }
        RegisteredEndpoint known = listed(entry.id(), nowNanos);
        known.namedIn = answer;
        Destination destination = destinations.get(entry.destination());
        if (destination == null) {
            destination = new Destination(entry.destination());
            destinations.put(entry.destination(), destination);
        }
        destination.rate = entry.weight();
        if (!entry.removed() || known.destination == null) {
            known.destination = destination;
        }
        if (entry.removed()) {
            goneSince.putIfAbsent(known, nowNanos);
        } else {
            goneSince.remove(known);
        }
        return OptionalLong.of(known.number);
    }

    /**
     * Ends an update that was a full list: marks the endpoints that it did not name as removed, and returns those that
     * were not removed before.
     */
    List<RegisteredEndpoint> markUnnamedRemoved(long nowNanos) {
        List<RegisteredEndpoint> left = new ArrayList<>();
        for (RegisteredEndpoint known : byId.values()) {
            if (known.namedIn != answer && goneSince.putIfAbsent(known, nowNanos) == null) {
                left.add(known);
            }
        }
        return left;
    }

    /** Evicts and returns the endpoints that were removed longer ago than this. */
    List<RegisteredEndpoint> evictRemoved(long nowNanos, long afterNanos) {
        List<RegisteredEndpoint> old = new ArrayList<>();
        Iterator<Map.Entry<RegisteredEndpoint, Long>> gone = goneSince.entrySet().iterator();
        while (gone.hasNext()) {
            Map.Entry<RegisteredEndpoint, Long> oldest = gone.next();
            if (nowNanos - oldest.getValue() <= afterNanos) {
                break;
            }
            gone.remove();
            old.add(oldest.getKey());
            byId.remove(oldest.getKey().id, oldest.getKey());
            byNumber.remove(oldest.getKey().number);
        }
        return old;
    }
}
