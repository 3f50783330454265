package kestreldeal.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Runs each slope with small sizes and the packaged jars, and checks counts: messages, bytes, and allocated bytes as a
 * measure of work. No bound depends on elapsed time, so that the result is the same on a busy machine.
 */
class SlopesIT {
    private static final Path TARGET = Path.of("target");
    private static final Path OUT = TARGET.resolve("scale-quick.jsonl");
    private static final Path LOG = TARGET.resolve("scale-quick.log");
    /** Time limit of the whole run, far above what it needs, in case it hangs. */
    private static final int TIMEOUT_SECONDS = 300;

    private static final List<JsonNode> LINES = new ArrayList<>();

    @BeforeAll
    static void runEachSlopeOnce() throws Exception {
        Process run = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar",
                TARGET.resolve("kestreldeal-scale.jar").toString(), "slopes", "--quick", "--out", OUT.toString())
                .redirectErrorStream(true).redirectOutput(LOG.toFile()).start();
        boolean exited = run.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        run.destroyForcibly().waitFor();
        assertTrue(exited, "the run did not end within its time limit");
        assertEquals(0, run.exitValue(), Files.readString(LOG));
        for (String line : Files.readAllLines(OUT)) {
            LINES.add(new ObjectMapper().readTree(line));
        }
    }

    private static List<JsonNode> points(String slope) {
        List<JsonNode> points = LINES.stream().filter(line -> line.get("kind").asText().equals("point"))
                .filter(line -> line.get("slope").asText().equals(slope)).toList();
        assertFalse(points.isEmpty(), slope);
        return points;
    }

    private static double exponent(String slope, String valueName) {
        return LINES.stream().filter(line -> line.get("kind").asText().equals("fit"))
                .filter(line -> line.get("slope").asText().equals(slope))
                .filter(line -> line.get("figure").asText().equals(valueName)).findFirst().orElseThrow()
                .get("exponent").asDouble();
    }

    private static JsonNode largest(String slope) {
        List<JsonNode> points = points(slope);
        return points.get(points.size() - 1);
    }

    private static void assertBetween(double min, double max, double value) {
        assertTrue(value >= min && value <= max, value + " is not from " + min + " to " + max);
    }

    @Test
    void everySlopeIsMeasuredAtEachSizeWithoutFailure() {
        for (Slope slope : SlopesCommand.allSlopes()) {
            assertEquals(slope.quickSizes(), points(slope.name()).stream().map(p -> p.get("size").asInt()).toList());
        }
        List<JsonNode> failed = LINES.stream().filter(line -> line.has("failed")).toList();
        assertEquals(List.of(), failed);
    }

    @Test
    void everyLineHasWhatIsNeededToRepeatTheRun() {
        for (JsonNode line : LINES) {
            for (String field : List.of("seed", "sizes", "jvm", "java", "revision", "unit")) {
                assertTrue(line.has(field), field + " in " + line);
            }
            assertNotEquals("[]", line.get("jvm").toString());
            assertNotEquals("[]", line.get("sizes").toString());
        }
    }

    @Test
    void turnCostDoesNotGrowWithWaitingMessagesThatCannotBeSent() {
        assertBetween(-0.1, 0.1, exponent("waiting", "turn_allocated_bytes"));
        assertBetween(100, 500, largest("waiting").get("bytes_each").asDouble());
    }

    @Test
    void turnCostDoesNotGrowWithListedEndpoints() {
        assertBetween(-0.1, 0.1, exponent("listed", "turn_allocated_bytes"));
        assertBetween(-0.1, 0.1, exponent("listed", "change_allocated_bytes"));
        assertBetween(200, 900, largest("listed").get("bytes_each").asDouble());
    }

    @Test
    void turnCostDoesNotGrowWithListedEndpointsAndWaitingMessages() {
        assertBetween(-0.1, 0.1, exponent("both", "turn_allocated_bytes"));
        assertBetween(-0.1, 0.1, exponent("both", "change_allocated_bytes"));
    }

    @Test
    void turnCostGrowsWithSentMessagesAndNotWithDestinations() {
        assertBetween(0.7, 1.2, exponent("going", "turn_allocated_bytes"));
        assertBetween(-0.2, 0.2, exponent("traffic", "turn_allocated_bytes"));
    }

    @Test
    void pendingMessagesAreInTheJournalAndRestoredAfterAKill() {
        for (JsonNode point : points("journal")) {
            long pending = point.get("size").asLong();
            assertEquals(pending, point.get("held").asLong());
            assertEquals(pending, point.get("held_at_kill").asLong());
            assertEquals(pending, point.get("held_after").asLong());
            assertBetween(250 * pending, 400 * pending, point.get("journal_bytes").asDouble());
            assertTrue(point.path("compactions").asLong() >= 1, "the journal was compacted");
            assertTrue(point.get("journal_at_kill_bytes").asLong() <= 1e6 * point.get("disk_mb").asDouble());
        }
    }

    @Test
    void submittedMessagesAreAcceptedAndCompleted() {
        for (JsonNode point : points("rate")) {
            assertEquals(0, point.get("not_taken").asLong());
            assertEquals(point.get("handed_in").asLong(), point.get("taken").asLong());
            assertTrue(point.get("delivered").asLong() + point.get("notices").asLong() >= point.get("taken").asLong());
        }
    }

    @Test
    void listUpdateTrafficGrowsWithChangesAndNotWithListLength() {
        assertBetween(0.7, 1.3, exponent("control-changes", "control_bytes_s"));
        assertBetween(-0.2, 0.2, exponent("control-list", "control_bytes_s"));
        assertBetween(0.9, 1.1, exponent("control-list", "whole_list_bytes"));
    }
}
