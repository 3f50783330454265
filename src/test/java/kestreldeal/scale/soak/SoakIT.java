package kestreldeal.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Runs a short soak test without faults, with the packaged jars: no rule may be broken, and each accepted message must
 * get its final result.
 */
class SoakIT {
    private static final Path BUILD_DIRECTORY = Path.of("target");
    private static final int RUN_TIMEOUT_SECONDS = 120;

    @Test
    void runWithoutFaultsBreaksNoRule() throws Exception {
        Path resultFile = BUILD_DIRECTORY.resolve("soak-calm.jsonl");
        Path logFile = BUILD_DIRECTORY.resolve("soak-calm.log");
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar",
                BUILD_DIRECTORY.resolve("kestreldeal-scale.jar").toString(), "soak", "--calm", "--senders", "2",
                "--seconds", "2", "--out", resultFile.toString()).redirectErrorStream(true)
                .redirectOutput(logFile.toFile()).start();
        boolean exited = process.waitFor(RUN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        process.destroyForcibly().waitFor();
        assertTrue(exited, "the soak test did not exit in time");
        assertEquals(0, process.exitValue(), Files.readString(logFile));
        JsonNode result = new ObjectMapper().readTree(Files.readAllLines(resultFile).get(0));
        assertEquals(0, result.get("breaches").asInt());
        assertTrue(result.get("all_judged").asBoolean());
        assertTrue(result.get("taken").asLong() > 0 && result.get("delivered").asLong() > 0, result.toString());
    }
}
