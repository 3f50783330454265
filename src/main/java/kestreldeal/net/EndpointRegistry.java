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
 * The names that endpoints have on the list, the numbers that the module has for them, and which of them the list
 * names. A change of one entry costs by that entry and by what it forgets, not by the list.
 */
final class EndpointRegistry {
    /** One endpoint; there is one for each that the list names, so it holds little. */
    static final class RegisteredEndpoint {
        private final String id;
        private final long number;
        /** The answer that named it last, by {@link EndpointRegistry#answer}. */
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

        /** Of one that the list has named. */
        long destination() {
            return destination.number;
        }

        /** The rate that the list gave last for any endpoint of its destination. */
        double rate() {
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
    /** Those that no list names, and since when (as {@link System#nanoTime}): the oldest first. */
    private final Map<RegisteredEndpoint, Long> goneSince = new LinkedHashMap<>();
    private final int most;
    private long next;
    private int answer;
    private int passedOver;

    /** One that takes so many endpoints: each costs memory here, with its connections, and in the module. */
    EndpointRegistry(int most) {
        this.most = most;
    }

    /** The number of an endpoint, new where it is unknown; until a list names it, it counts as gone. */
    long number(String id, long nowNanos) {
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

    /** The number of an endpoint that is known. */
    OptionalLong known(String id) {
        RegisteredEndpoint known = byId.get(id);
        return known == null ? OptionalLong.empty() : OptionalLong.of(known.number);
    }

    /** The destination of an endpoint that a list has named. */
    OptionalLong destination(long number) {
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

    /** Another answer begins; what it names is told by {@link #name}. */
    void begin() {
        answer++;
        passedOver = 0;
    }

    /** Endpoints that the answer named and for which there was no room. */
    int passedOver() {
        return passedOver;
    }

    /**
     * The answer is about to name an endpoint: the one that bore its id so far, if that was of another destination. It
     * is gone, and another number is given to the one that bears the id now.
     */
    Optional<RegisteredEndpoint> displaced(Discovery.Entry entry, long nowNanos) {
        RegisteredEndpoint known = byId.get(entry.id());
        if (entry.gone() || known == null || known.destination == null
                || known.destination.number == entry.destination()) {
            return Optional.empty();
        }
        byId.remove(known.id);
        goneSince.putIfAbsent(known, nowNanos);
        return Optional.of(known);
    }

    /** The answer names an endpoint, as there or as gone; its number, none where it is new and there is no room. */
    OptionalLong name(Discovery.Entry entry, long nowNanos) {
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
        if (!entry.gone() || known.destination == null) {
            known.destination = destination;
        }
        if (entry.gone()) {
            goneSince.putIfAbsent(known, nowNanos);
        } else {
            goneSince.remove(known);
        }
        return OptionalLong.of(known.number);
    }

    /** The answer was whole: those that it did not name have left, and are told if they were there before. */
    List<RegisteredEndpoint> leave(long nowNanos) {
        List<RegisteredEndpoint> left = new ArrayList<>();
        for (RegisteredEndpoint known : byId.values()) {
            if (known.namedIn != answer && goneSince.putIfAbsent(known, nowNanos) == null) {
                left.add(known);
            }
        }
        return left;
    }

    /** Forgets those that are gone for longer than this, and tells them. */
    List<RegisteredEndpoint> forget(long nowNanos, long afterNanos) {
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
