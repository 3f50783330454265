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
        return directory.name(new Discovery.Entry(id, Optional.empty(), "a", "m", destination, !gone, rate, gone),
                nowNanos).orElse(-1);
    }

    private static List<String> ids(List<EndpointRegistry.RegisteredEndpoint> some) {
        return some.stream().map(EndpointRegistry.RegisteredEndpoint::id).sorted().toList();
    }

    @Test
    void anEndpointKeepsItsNumber() {
        long early = directory.number("a", 0);
        assertEquals(early, name("a", 7, 1, false, 0));
        assertEquals(early, directory.number("a", 1));
        assertEquals(OptionalLong.of(early), directory.known("a"));
        assertEquals("a", directory.id(early));
        assertEquals(OptionalLong.empty(), directory.known("b"));
        assertTrue(early != directory.number("b", 0));
        assertTrue(directory.knowsDestination(7));
        assertFalse(directory.knowsDestination(early == 0 ? 1 : 0));
    }

    /** An id that is listed for another destination is another endpoint to all users of the numbers. */
    @Test
    void anotherDestinationHasAnotherNumber() {
        long before = name("a", 7, 1, false, 0);
        Discovery.Entry same = new Discovery.Entry("a", Optional.empty(), "a", "m", 7, true, 1, false);
        assertEquals(Optional.empty(), directory.displaced(same, 1));
        Discovery.Entry gone = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, false, 1, true);
        assertEquals(Optional.empty(), directory.displaced(gone, 1));
        Discovery.Entry other = new Discovery.Entry("a", Optional.empty(), "a", "m", 8, true, 1, false);
        assertEquals(before, directory.displaced(other, 1).orElseThrow().number());
        long after = name("a", 8, 1, false, 1);
        assertTrue(after != before);
        assertEquals("a", directory.id(before));
        directory.forget(MINUTE + 2, MINUTE);
        assertEquals(OptionalLong.of(after), directory.known("a"), "the old endpoint is evicted, not the new one");
    }

    /** An endpoint missing from a full list is returned once, with the latest rate of its destination. */
    @Test
    void whatAWholeListDoesNotNameHasLeft() {
        directory.number("recalled", 0);
        directory.begin();
        name("a", 7, 2, false, 0);
        name("b", 7, 3, false, 0);
        name("c", 8, 4, true, 0);
        assertEquals(List.of(), directory.leave(0));
        directory.begin();
        name("a", 7, 5, false, 1);
        List<EndpointRegistry.RegisteredEndpoint> left = directory.leave(1);
        assertEquals(List.of("b"), ids(left));
        assertEquals(7, left.get(0).destination());
        assertEquals(5, left.get(0).rate());
        directory.begin();
        name("a", 7, 5, false, 2);
        assertEquals(List.of(), directory.leave(2));
        directory.begin();
        assertEquals(List.of("a"), ids(directory.leave(3)));
    }

    @Test
    void whatIsGoneForLongIsForgottenUnlessItCameBack() {
        directory.begin();
        name("stays", 1, 1, false, 0);
        long left = name("left", 1, 1, false, 0);
        name("back", 1, 1, true, 0);
        directory.number("recalled", 0);
        directory.begin();
        name("stays", 1, 1, false, 1);
        name("back", 1, 1, false, 1);
        directory.leave(1);
        assertEquals(List.of(), directory.forget(MINUTE, MINUTE));
        assertEquals(List.of("recalled"), ids(directory.forget(MINUTE + 1, MINUTE)));
        assertEquals(OptionalLong.of(left), directory.known("left"));
        assertEquals(List.of("left"), ids(directory.forget(MINUTE + 2, MINUTE)));
        assertEquals(OptionalLong.empty(), directory.known("left"));
        assertEquals(List.of(), directory.forget(9 * MINUTE, MINUTE));
        assertTrue(directory.known("stays").isPresent() && directory.known("back").isPresent());
        assertTrue(directory.number("left", 0) != left, "a number is never reused");
    }

    @Test
    void whatHasNoRoomIsPassedOverUntilOthersAreForgotten() {
        directory.begin();
        for (int i = 0; i < 4; i++) {
            name("a" + i, i, 1, false, 0);
        }
        assertEquals(-1, name("b", 9, 1, false, 0));
        assertEquals(1, directory.passedOver());
        assertFalse(directory.knowsDestination(9));
        assertTrue(name("a0", 0, 1, true, 0) >= 0, "a known endpoint is not skipped");
        directory.begin();
        assertEquals(0, directory.passedOver());
        directory.forget(MINUTE + 1, MINUTE);
        assertTrue(name("b", 9, 1, false, 0) >= 0);
    }

    /** A second notification of the removal does not restart the time until eviction. */
    @Test
    void itIsGoneFromTheFirstWordOn() {
        name("a", 1, 1, true, 0);
        name("a", 1, 1, true, MINUTE);
        assertEquals(List.of("a"), ids(directory.forget(MINUTE + 1, MINUTE)));
    }
}
