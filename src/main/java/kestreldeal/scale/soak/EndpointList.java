package kestreldeal.scale.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The endpoint list of discovery, with a history of its changes. Each change starts a new generation. */
final class EndpointList {
    private static final double ENTRY_WEIGHT = 20;

    private final Map<String, String> entriesById = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long generation = 1;

    private record Change(long generation, String entry) {
    }

    /** Adds an endpoint, or changes the lifecycle of one; with {@code DELETED} it is removed. */
    void put(String id, String hostPort, int destination, String lifecycle) {
        String entry = String.format(Locale.ROOT, "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"a\","
                + "\"machineType\":\"m\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%.1f,\"startedAtMs\":0}", id,
                hostPort, destination, lifecycle, ENTRY_WEIGHT);
        generation++;
        changes.add(new Change(generation, entry));
        if (lifecycle.equals("DELETED")) {
            entriesById.remove(id);
        } else {
            entriesById.put(id, entry);
        }
        List.copyOf(listeners).forEach(Runnable::run);
    }

    long generation() {
        return generation;
    }

    /** Adds a listener that runs after each change. */
    void addChangeListener(Runnable listener) {
        listeners.add(listener);
    }

    /** The response with the full list. */
    String fullList() {
        return format(true, new ArrayList<>(entriesById.values()));
    }

    /** The response with the changes after a generation. */
    String changesSince(long afterGeneration) {
        return format(false, changes.stream().filter(change -> change.generation > afterGeneration)
                .map(Change::entry).toList());
    }

    private String format(boolean isFullList, List<String> listEntries) {
        return "{\"generation\":" + generation + ",\"reset\":" + isFullList + ",\"instances\":["
                + String.join(",", listEntries) + "]}";
    }
}
