package kestreldeal.scale;

import java.util.List;

/** The measurements of the decision module alone. */
final class ModuleSlopes {
    static final String WAITING = "waiting";
    static final String LISTED = "listed";
    static final String BOTH = "both";
    static final String TRAFFIC = "traffic";
    static final String GOING = "going";

    private static final List<Integer> TWO_DECADES = List.of(1000, 3000, 10_000, 30_000, 100_000);
    private static final List<Integer> QUICK_SIZES = List.of(100, 10_000);

    private ModuleSlopes() {
    }

    static List<Slope> all() {
        return List.of(
                slope(WAITING, "messages waiting, 100 destinations, all slots taken", TWO_DECADES, QUICK_SIZES,
                        List.of("turn_us", "turn_allocated_bytes", "bytes_each")),
                slope(LISTED, "endpoints listed, 1.6 a destination, nothing waiting", TWO_DECADES, QUICK_SIZES,
                        List.of("turn_us", "turn_allocated_bytes", "change_us", "change_allocated_bytes",
                                "bytes_each")),
                slope(BOTH, "endpoints listed and as many messages waiting for all destinations, all slots taken",
                        TWO_DECADES, List.of(300, 10_000), List.of("turn_us", "turn_allocated_bytes", "change_us",
                                "change_allocated_bytes", "bytes_each")),
                slope(TRAFFIC, "destinations with traffic, 16 messages go in a turn",
                        List.of(100, 300, 1000, 3000, 10_000), List.of(30, 300),
                        List.of("turn_us", "turn_allocated_bytes")),
                slope(GOING, "messages that go in a turn, 1,000 destinations with traffic",
                        List.of(10, 30, 100, 300, 1000), List.of(10, 100),
                        List.of("turn_us", "turn_allocated_bytes")));
    }

    private static Slope slope(String name, String sizeMeaning, List<Integer> sizes, List<Integer> quickSizes,
            List<String> fittedValues) {
        return new Slope(name, sizeMeaning, sizes, quickSizes, fittedValues,
                (setup, size, seed) -> ModuleBenchmarkProcess.measure(setup, name, size, seed));
    }
}
