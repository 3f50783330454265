package kestreldeal.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ResultWriterTest {
    @TempDir
    private Path directory;

    @Test
    void aLineHasWhatIsNeededToRepeatTheRun() throws Exception {
        Path file = directory.resolve("out.jsonl");
        try (ResultWriter results = ResultWriter.open(Optional.of(file), "slopes", 42, List.of(10, 100))) {
            results.writeLine("point", Map.of("turn_us", 1.5, "unit", "microseconds"));
            results.writeLine("fit", Map.of("growth", "grows as n", "jvm", List.of("-Xmx48m")));
        }
        List<String> lines = Files.readAllLines(file);
        assertEquals(2, lines.size());
        JsonNode first = new ObjectMapper().readTree(lines.get(0));
        assertEquals("point", first.get("kind").asText());
        assertEquals(1.5, first.get("turn_us").asDouble());
        assertEquals(42, first.get("seed").asLong());
        assertEquals("[10,100]", first.get("sizes").toString());
        assertEquals("slopes", first.get("command").asText());
        assertEquals(Runtime.version().toString(), first.get("java").asText());
        assertTrue(first.get("jvm").isArray());
        assertFalse(first.get("revision").asText().isEmpty());
        JsonNode second = new ObjectMapper().readTree(lines.get(1));
        assertEquals("[\"-Xmx48m\"]", second.get("jvm").toString(),
                "the options of the JVM that measured replace the shared ones");
    }

    @Test
    void eachLineIsInTheFileImmediately() throws Exception {
        Path file = directory.resolve("out.jsonl");
        try (ResultWriter results = ResultWriter.open(Optional.of(file), "slopes", 1, List.of())) {
            results.writeLine("point", Map.of("size", 1));
            assertEquals(1, Files.readAllLines(file).size());
        }
    }

    @Test
    void numbersHaveLimitedPrecision() {
        assertEquals("12346", ResultWriter.formatNumber(12345.6));
        assertEquals("12.3", ResultWriter.formatNumber(12.345));
        assertEquals("1.234", ResultWriter.formatNumber(1.2344));
        assertEquals("-", ResultWriter.formatNumber(Double.NaN));
    }
}
