package kestreldeal.scale.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The list of endpoints as discovery has it, with its changes by generation. */
final class EndpointList {
    private static final double ENTRY_WEIGHT = 20;

    private final Map<String, String> entriesById = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long generation = 1;

    private record Change(long generation, String entry) {
    }

    /** Puts an endpoint on the list, or tells that its state is another. */
    void put(String id, String hostPort, int destination, String lifecycle) {
        String entry = String.format(Locale.ROOT, "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"a\","
                + "\"machineType\":\"m\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%.1f,\"startedAtMs\":0}", id, hostPort,
                destination, lifecycle, ENTRY_WEIGHT);
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

    /** Run after each change. */
    void addChangeListener(Runnable listener) {
        listeners.add(listener);
    }

    /** The whole list. */
    String fullList() {
        return format(true, new ArrayList<>(entriesById.values()));
    }

    /** What has changed since that generation. */
    String changesSince(long afterGeneration) {
        return format(false, changes.stream().filter(change -> change.generation > afterGeneration).map(Change::entry).toList());
    }

    private String format(boolean isFullList, List<String> listEntries) {
        return "{\"generation\":" + generation + ",\"reset\":" + isFullList + ",\"instances\":[" + String.join(",", listEntries)
                + "]}";
    }
}
