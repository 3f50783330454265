package kestreldeal.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class FleetCommandTest {
    @TempDir
    private Path directory;
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return new CommandLine(new FleetCommand()).setErr(new PrintWriter(err)).execute(args);
    }

    private List<JsonNode> runAndReadResults(String file) throws IOException {
        Path out = directory.resolve(file);
        assertEquals(0, run("steady", "restarts", "--senders", "3,9", "--destinations", "6", "--seconds", "5",
                "--seed", "7", "--out", out.toString()), err.toString());
        List<JsonNode> lines = new ArrayList<>();
        for (String line : Files.readAllLines(out)) {
            ObjectNode node = (ObjectNode) new ObjectMapper().readTree(line);
            node.remove("realMs");
            lines.add(node);
        }
        return lines;
    }

    @Test
    void eachRunWritesALineAndEqualSeedsGiveEqualLines() throws IOException {
        List<JsonNode> lines = runAndReadResults("one");
        assertEquals(4, lines.size());
        assertEquals("[3, 9, 3, 9]", lines.stream().map(l -> l.get("senders").asInt()).toList().toString());
        assertEquals("restarts", lines.get(3).get("scenario").asText());
        assertEquals(7, lines.get(3).get("seed").asInt());
        assertTrue(lines.get(3).get("asked").asInt() > 0 && lines.get(3).get("restarts").asInt() > 0);
        assertEquals(lines, runAndReadResults("two"));
    }

    @Test
    void destinationRateGrowsWithTheSendersForARatePerSender() throws IOException {
        Path out = directory.resolve("a-sender");
        assertEquals(0, run("steady", "--senders", "2,20", "--destinations", "4", "--seconds", "5", "--rate-a-sender",
                "3", "--out", out.toString()), err.toString());
        List<String> lines = Files.readAllLines(out);
        assertEquals(1.5, new ObjectMapper().readTree(lines.get(0)).get("rate").asDouble());
        assertEquals(15, new ObjectMapper().readTree(lines.get(1)).get("rate").asDouble());
    }

    @ParameterizedTest
    @CsvSource({"--senders,0", "--senders,20000", "--destinations,0", "--rate,0", "--rate,NaN", "--rate-a-sender,0",
            "--seconds,0", "--seconds,100000", "--most-real-seconds,0", "--destinations,100000000"})
    void invalidValuesGiveOneMessage(String option, String value) {
        assertEquals(2, run(option, value));
        assertTrue(err.toString().startsWith(option) || err.toString().contains("MB of heap"), err.toString());
    }

    @Test
    void anUnknownScenarioIsNamedInTheMessage() {
        assertEquals(2, run("earthquake"));
        assertTrue(err.toString().contains("earthquake"), err.toString());
    }

    @Test
    void aRunOverItsTimeLimitIsAborted() {
        assertEquals(1, run("steady", "--senders", "10", "--most-real-seconds", "0.000001"));
        assertTrue(err.toString().startsWith("aborted: the run takes more than"), err.toString());
    }
}
