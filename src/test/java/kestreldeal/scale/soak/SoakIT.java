package kestreldeal.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Runs short soak tests with the packaged jars, one without faults and one with a fixed seed: no rule may be broken, and
 * each accepted message must get its final result.
 */
class SoakIT {
    private static final Path BUILD_DIRECTORY = Path.of("target");
    private static final int RUN_TIMEOUT_SECONDS = 120;

    @Test
    void runWithoutFaultsBreaksNoRule() throws Exception {
        assertNoBreach("soak-calm", "--calm", "--senders", "2", "--seconds", "2");
    }

    /** Messages were sent again, or reported as failed, after the response that they were delivered. */
    @Test
    void seededRunWithFaultsBreaksNoRule() throws Exception {
        assertNoBreach("soak-faults", "--senders", "6", "--destinations", "4", "--rate", "20", "--seconds", "30",
                "--seed", "1");
    }

    /** Runs the soak test with these options; its results and output go to files with this name. */
    private static void assertNoBreach(String name, String... options) throws Exception {
        Path resultFile = BUILD_DIRECTORY.resolve(name + ".jsonl");
        Path logFile = BUILD_DIRECTORY.resolve(name + ".log");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar",
                BUILD_DIRECTORY.resolve("kestreldeal-scale.jar").toString(), "soak", "--out", resultFile.toString()));
        command.addAll(List.of(options));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile())
                .start();
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
