package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private static final long MINUTE_NANOS = 60_000_000_000L;

    private final EndpointRegistry registry = new EndpointRegistry(4);

    private long register(String id, long destination, double listedRate, boolean removed, long nowNanos) {
        return registry.register(new Discovery.Entry(id, Optional.empty(), "a", "m", destination, !removed, listedRate,
                removed), nowNanos).orElse(-1);
    }

    private static List<String> ids(List<EndpointRegistry.RegisteredEndpoint> endpoints) {
        return endpoints.stream().map(EndpointRegistry.RegisteredEndpoint::id).sorted().toList();
    }

    @Test
    void endpointKeepsItsNumber() {
        long number = registry.getOrAssignNumber("a", 0);
        assertEquals(number, register("a", 7, 1, false, 0));
        assertEquals(number, registry.getOrAssignNumber("a", 1));
        assertEquals(OptionalLong.of(number), registry.findNumber("a"));
        assertEquals("a", registry.id(number));
        assertEquals(OptionalLong.empty(), registry.findNumber("b"));
        assertTrue(number != registry.getOrAssignNumber("b", 0));
        assertTrue(registry.knowsDestination(7));
        assertFalse(registry.knowsDestination(number == 0 ? 1 : 0));
    }

    /** An id that is listed for another destination is another endpoint to all users of the numbers. */
    @Test
    void sameIdAtAnotherDestinationGetsANewNumber() {
        long before = register("a", 7, 1, false, 0);
        Discovery.Entry same = new Discovery.Entry("a", Optional.empty(), "a", "m", 7, true, 1, false);
        assertEquals(Optional.empty(), registry.findDisplaced(same, 1));
        Discovery.Entry removed = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, false, 1, true);
        assertEquals(Optional.empty(), registry.findDisplaced(removed, 1));
        Discovery.Entry other = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, true, 1, false);
        assertEquals(before, registry.findDisplaced(other, 1).orElseThrow().number());
        long after = register("a", 8, 1, false, 1);
        assertTrue(after != before);
        assertEquals("a", registry.id(before));
        registry.evictRemoved(MINUTE_NANOS + 2, MINUTE_NANOS);
        assertEquals(OptionalLong.of(after), registry.findNumber("a"), "the old endpoint is evicted, not the new one");
    }

    /** An endpoint missing from a full list is returned once, with the latest rate of its destination. */
    @Test
    void endpointMissingFromAFullListIsRemoved() {
        registry.getOrAssignNumber("recalled", 0);
        registry.beginUpdate();
        register("a", 7, 2, false, 0);
        register("b", 7, 3, false, 0);
        register("c", 8, 4, true, 0);
        assertEquals(List.of(), registry.markUnnamedRemoved(0));
        registry.beginUpdate();
        register("a", 7, 5, false, 1);
        List<EndpointRegistry.RegisteredEndpoint> newlyRemoved = registry.markUnnamedRemoved(1);
        assertEquals(List.of("b"), ids(newlyRemoved));
        assertEquals(7, newlyRemoved.get(0).destination());
        assertEquals(5, newlyRemoved.get(0).listedRate());
        registry.beginUpdate();
        register("a", 7, 5, false, 2);
        assertEquals(List.of(), registry.markUnnamedRemoved(2));
        registry.beginUpdate();
        assertEquals(List.of("a"), ids(registry.markUnnamedRemoved(3)));
    }

    @Test
    void removedEndpointIsEvictedUnlessItCameBack() {
        registry.beginUpdate();
        register("stays", 1, 1, false, 0);
        long left = register("left", 1, 1, false, 0);
        register("back", 1, 1, true, 0);
        registry.getOrAssignNumber("recalled", 0);
        registry.beginUpdate();
        register("stays", 1, 1, false, 1);
        register("back", 1, 1, false, 1);
        registry.markUnnamedRemoved(1);
        assertEquals(List.of(), registry.evictRemoved(MINUTE_NANOS, MINUTE_NANOS));
        assertEquals(List.of("recalled"), ids(registry.evictRemoved(MINUTE_NANOS + 1, MINUTE_NANOS)));
        assertEquals(OptionalLong.of(left), registry.findNumber("left"));
        assertEquals(List.of("left"), ids(registry.evictRemoved(MINUTE_NANOS + 2, MINUTE_NANOS)));
        assertEquals(OptionalLong.empty(), registry.findNumber("left"));
        assertEquals(List.of(), registry.evictRemoved(9 * MINUTE_NANOS, MINUTE_NANOS));
        assertTrue(registry.findNumber("stays").isPresent() && registry.findNumber("back").isPresent());
        assertTrue(registry.getOrAssignNumber("left", 0) != left, "a number is never reused");
    }

    @Test
    void newEndpointsAreSkippedWhileTheRegistryIsFull() {
        registry.beginUpdate();
        for (int i = 0; i < 4; i++) {
            register("a" + i, i, 1, false, 0);
        }
        assertEquals(-1, register("b", 9, 1, false, 0));
        assertEquals(1, registry.skippedCount());
        assertFalse(registry.knowsDestination(9));
        assertTrue(register("a0", 0, 1, true, 0) >= 0, "a known endpoint is not skipped");
        registry.beginUpdate();
        assertEquals(0, registry.skippedCount());
        registry.evictRemoved(MINUTE_NANOS + 1, MINUTE_NANOS);
        assertTrue(register("b", 9, 1, false, 0) >= 0);
    }

    /** A second notification of the removal does not restart the time until eviction. */
    @Test
    void evictionTimeCountsFromTheFirstNotificationOfRemoval() {
        register("a", 1, 1, true, 0);
        register("a", 1, 1, true, MINUTE_NANOS);
        assertEquals(List.of("a"), ids(registry.evictRemoved(MINUTE_NANOS + 1, MINUTE_NANOS)));
    }
}
