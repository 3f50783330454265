package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private static final long MINUTE = 60_000_000_000L;

    private final EndpointRegistry directory = new EndpointRegistry(4);

    private long name(String id, long destination, double rate, boolean gone, long nowNanos) {
        return directory.register(new Discovery.Entry(id, Optional.empty(), "a", "m", destination, !gone, rate, gone),
                nowNanos).orElse(-1);
    }

    private static List<String> ids(List<EndpointRegistry.RegisteredEndpoint> some) {
        return some.stream().map(EndpointRegistry.RegisteredEndpoint::id).sorted().toList();
    }

    @Test
    void anEndpointKeepsItsNumber() {
        long early = directory.getOrAssignNumber("a", 0);
        assertEquals(early, name("a", 7, 1, false, 0));
        assertEquals(early, directory.getOrAssignNumber("a", 1));
        assertEquals(OptionalLong.of(early), directory.findNumber("a"));
        assertEquals("a", directory.id(early));
        assertEquals(OptionalLong.empty(), directory.findNumber("b"));
        assertTrue(early != directory.getOrAssignNumber("b", 0));
        assertTrue(directory.knowsDestination(7));
        assertFalse(directory.knowsDestination(early == 0 ? 1 : 0));
    }

    /** An id that is listed for another destination is another endpoint to all users of the numbers. */
    @Test
    void anotherDestinationHasAnotherNumber() {
        long before = name("a", 7, 1, false, 0);
        Discovery.Entry same = new Discovery.Entry("a", Optional.empty(), "a", "m", 7, true, 1, false);
        assertEquals(Optional.empty(), directory.findDisplaced(same, 1));
        Discovery.Entry gone = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, false, 1, true);
        assertEquals(Optional.empty(), directory.findDisplaced(gone, 1));
        Discovery.Entry other = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, true, 1, false);
        assertEquals(before, directory.findDisplaced(other, 1).orElseThrow().number());
        long after = name("a", 8, 1, false, 1);
        assertTrue(after != before);
        assertEquals("a", directory.id(before));
        directory.evictRemoved(MINUTE + 2, MINUTE);
        assertEquals(OptionalLong.of(after), directory.findNumber("a"), "the old endpoint is evicted, not the new one");
    }

    /** An endpoint missing from a full list is returned once, with the latest rate of its destination. */
    @Test
    void whatAWholeListDoesNotNameHasLeft() {
        directory.getOrAssignNumber("recalled", 0);
        directory.beginUpdate();
        name("a", 7, 2, false, 0);
        name("b", 7, 3, false, 0);
        name("c", 8, 4, true, 0);
        assertEquals(List.of(), directory.markUnnamedRemoved(0));
        directory.beginUpdate();
        name("a", 7, 5, false, 1);
        List<EndpointRegistry.RegisteredEndpoint> left = directory.markUnnamedRemoved(1);
        assertEquals(List.of("b"), ids(left));
        assertEquals(7, left.get(0).destination());
        assertEquals(5, left.get(0).listedRate());
        directory.beginUpdate();
        name("a", 7, 5, false, 2);
        assertEquals(List.of(), directory.markUnnamedRemoved(2));
        directory.beginUpdate();
        assertEquals(List.of("a"), ids(directory.markUnnamedRemoved(3)));
    }

    @Test
    void whatIsGoneForLongIsForgottenUnlessItCameBack() {
        directory.beginUpdate();
        name("stays", 1, 1, false, 0);
        long left = name("left", 1, 1, false, 0);
        name("back", 1, 1, true, 0);
        directory.getOrAssignNumber("recalled", 0);
        directory.beginUpdate();
        name("stays", 1, 1, false, 1);
        name("back", 1, 1, false, 1);
        directory.markUnnamedRemoved(1);
        assertEquals(List.of(), directory.evictRemoved(MINUTE, MINUTE));
        assertEquals(List.of("recalled"), ids(directory.evictRemoved(MINUTE + 1, MINUTE)));
        assertEquals(OptionalLong.of(left), directory.findNumber("left"));
        assertEquals(List.of("left"), ids(directory.evictRemoved(MINUTE + 2, MINUTE)));
        assertEquals(OptionalLong.empty(), directory.findNumber("left"));
        assertEquals(List.of(), directory.evictRemoved(9 * MINUTE, MINUTE));
        assertTrue(directory.findNumber("stays").isPresent() && directory.findNumber("back").isPresent());
        assertTrue(directory.getOrAssignNumber("left", 0) != left, "a number is never reused");
    }

    @Test
    void whatHasNoRoomIsPassedOverUntilOthersAreForgotten() {
        directory.beginUpdate();
        for (int i = 0; i < 4; i++) {
            name("a" + i, i, 1, false, 0);
        }
        assertEquals(-1, name("b", 9, 1, false, 0));
        assertEquals(1, directory.skippedCount());
        assertFalse(directory.knowsDestination(9));
        assertTrue(name("a0", 0, 1, true, 0) >= 0, "a known endpoint is not skipped");
        directory.beginUpdate();
        assertEquals(0, directory.skippedCount());
        directory.evictRemoved(MINUTE + 1, MINUTE);
        assertTrue(name("b", 9, 1, false, 0) >= 0);
    }

    /** A second notification of the removal does not restart the time until eviction. */
    @Test
    void itIsGoneFromTheFirstWordOn() {
        name("a", 1, 1, true, 0);
        name("a", 1, 1, true, MINUTE);
        assertEquals(List.of("a"), ids(directory.evictRemoved(MINUTE + 1, MINUTE)));
    }
}
