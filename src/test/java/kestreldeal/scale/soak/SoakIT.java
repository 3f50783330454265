package kestreldeal.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The soak itself with the packaged jars: a short calm run, in which all that is taken on has to end. */
class SoakIT {
    private static final Path TARGET = Path.of("target");
    private static final int LIMIT_S = 120;

    @Test
    void aCalmRunBreaksNoRule() throws Exception {
        Path out = TARGET.resolve("soak-calm.jsonl");
        Path log = TARGET.resolve("soak-calm.log");
        Process run = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar",
                TARGET.resolve("kestreldeal-scale.jar").toString(), "soak", "--calm", "--senders", "2", "--seconds", "2",
                "--out", out.toString()).redirectErrorStream(true).redirectOutput(log.toFile()).start();
        boolean ended = run.waitFor(LIMIT_S, TimeUnit.SECONDS);
        run.destroyForcibly().waitFor();
        assertTrue(ended, "it did not end");
        assertEquals(0, run.exitValue(), Files.readString(log));
        JsonNode line = new ObjectMapper().readTree(Files.readAllLines(out).get(0));
        assertEquals(0, line.get("breaches").asInt());
        assertTrue(line.get("all_judged").asBoolean());
        assertTrue(line.get("taken").asLong() > 0 && line.get("delivered").asLong() > 0, line.toString());
    }
}
