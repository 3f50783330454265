package kestreldeal.scale.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The list of endpoints as discovery has it, with its changes by generation. */
final class Roster {
    private static final double RATE = 20;

    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long generation = 1;

    private record Change(long generation, String entry) {
    }

    /** Puts an endpoint on the list, or tells that its state is another. */
    void put(String id, String hostPort, int destination, String lifecycle) {
        String entry = String.format(Locale.ROOT, "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"a\","
                + "\"machineType\":\"m\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%.1f,\"startedAtMs\":0}", id, hostPort,
                destination, lifecycle, RATE);
        generation++;
        changes.add(new Change(generation, entry));
        if (lifecycle.equals("DELETED")) {
            entries.remove(id);
        } else {
            entries.put(id, entry);
        }
        List.copyOf(listeners).forEach(Runnable::run);
    }

    long generation() {
        return generation;
    }

    /** Run after each change. */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** The whole list. */
    String whole() {
        return answer(true, new ArrayList<>(entries.values()));
    }

    /** What has changed since that generation. */
    String since(long after) {
        return answer(false, changes.stream().filter(change -> change.generation > after).map(Change::entry).toList());
    }

    private String answer(boolean reset, List<String> instances) {
        return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":[" + String.join(",", instances)
                + "]}";
    }
}
