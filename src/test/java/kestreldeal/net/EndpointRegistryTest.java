package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private final EndpointRegistry registry = new EndpointRegistry(4);

    private long register(String id, long destination, double listedRate, boolean removed) {
        return registry.register(new Discovery.Entry(id, Optional.empty(), "a", "m", destination, !removed, listedRate,
                removed)).orElse(-1);
    }

    private static List<String> ids(List<EndpointRegistry.RegisteredEndpoint> endpoints) {
        return endpoints.stream().map(EndpointRegistry.RegisteredEndpoint::id).sorted().toList();
    }

    @Test
    void endpointKeepsItsNumber() {
        long number = registry.getOrAssignNumber("a");
        assertEquals(number, register("a", 7, 1, false));
        assertEquals(number, registry.getOrAssignNumber("a"));
        assertEquals(OptionalLong.of(number), registry.findNumber("a"));
        assertEquals("a", registry.id(number));
        assertEquals(OptionalLong.empty(), registry.findNumber("b"));
        assertTrue(number != registry.getOrAssignNumber("b"));
        assertTrue(registry.knowsDestination(7));
        assertFalse(registry.knowsDestination(number == 0 ? 1 : 0));
    }

    /** An id that is listed for another destination is another endpoint to all users of the numbers. */
    @Test
    void sameIdAtAnotherDestinationGetsANewNumber() {
        long before = register("a", 7, 1, false);
        Discovery.Entry same = new Discovery.Entry("a", Optional.empty(), "a", "m", 7, true, 1, false);
        assertEquals(Optional.empty(), registry.findDisplaced(same));
        Discovery.Entry removed = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, false, 1, true);
        assertEquals(Optional.empty(), registry.findDisplaced(removed));
        Discovery.Entry other = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, true, 1, false);
        assertEquals(before, registry.findDisplaced(other).orElseThrow().number());
        long after = register("a", 8, 1, false);
        assertTrue(after != before);
        assertEquals("a", registry.id(before));
        assertTrue(registry.ownsId(after));
        assertFalse(registry.ownsId(before), "the id, and what is recorded by it, is that of the new endpoint");
        assertEquals(Optional.empty(), registry.forget(before));
        assertEquals(OptionalLong.of(after), registry.findNumber("a"), "the old endpoint is forgotten, not the new one");
    }

    /** An endpoint missing from a full list is returned once, with the latest rate of its destination. */
    @Test
    void endpointMissingFromAFullListIsRemoved() {
        registry.getOrAssignNumber("recalled");
        registry.beginUpdate();
        register("a", 7, 2, false);
        register("b", 7, 3, false);
        register("c", 8, 4, true);
        assertEquals(List.of(), registry.markUnnamedRemoved());
        registry.beginUpdate();
        register("a", 7, 5, false);
        List<EndpointRegistry.RegisteredEndpoint> newlyRemoved = registry.markUnnamedRemoved();
        assertEquals(List.of("b"), ids(newlyRemoved));
        assertEquals(7, newlyRemoved.get(0).destination());
        assertEquals(5, newlyRemoved.get(0).listedRate());
        registry.beginUpdate();
        register("a", 7, 5, false);
        assertEquals(List.of(), registry.markUnnamedRemoved());
        registry.beginUpdate();
        assertEquals(List.of("a"), ids(registry.markUnnamedRemoved()));
    }

    /** An endpoint had no id any more while the decision module could still name it: a message was lost. */
    @Test
    void removedEndpointKeepsItsNumberUntilItIsForgotten() {
        registry.beginUpdate();
        long left = register("left", 1, 1, false);
        registry.beginUpdate();
        registry.markUnnamedRemoved();
        assertEquals("left", registry.id(left));
        assertEquals(OptionalLong.of(1), registry.findDestination(left));
        assertEquals(left, register("left", 1, 1, false), "listed again");
        assertEquals(Optional.of("left"), registry.forget(left));
        assertEquals(OptionalLong.empty(), registry.findNumber("left"));
        assertEquals(Optional.empty(), registry.findId(left));
        assertEquals(OptionalLong.empty(), registry.findDestination(left));
        assertFalse(registry.ownsId(left));
        assertThrows(IllegalArgumentException.class, () -> registry.id(left));
        assertEquals(Optional.empty(), registry.forget(left));
        assertTrue(register("left", 1, 1, false) != left, "a number is never reused");
    }

    @Test
    void newEndpointsAreSkippedWhileTheRegistryIsFull() {
        registry.beginUpdate();
        for (int i = 0; i < 4; i++) {
            register("a" + i, i, 1, false);
        }
        assertEquals(-1, register("b", 9, 1, false));
        assertEquals(1, registry.skippedCount());
        assertFalse(registry.knowsDestination(9));
        assertTrue(register("a0", 0, 1, true) >= 0, "a known endpoint is not skipped");
        registry.beginUpdate();
        assertEquals(0, registry.skippedCount());
        registry.markUnnamedRemoved();
        registry.forget(registry.findNumber("a0").orElseThrow());
        assertTrue(register("b", 9, 1, false) >= 0);
    }
}
