package kestreldeal.scale;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Runs {@link ModuleBenchmark} in a JVM of its own, with a sender's JVM options but a heap that is large enough for the
 * measurement.
 */
final class ModuleBenchmarkProcess {
    private static final int HEAP_MB = 1024;
    private static final int TIMEOUT_SECONDS = 100;

    private ModuleBenchmarkProcess() {
    }

    /** Measures once; returns the measured values and the options of the JVM. */
    static Map<String, Object> measure(MeasurementSetup setup, String slopeName, int size, long seed) throws Exception {
        List<String> options = setup.jvmOptionsWithHeap(HEAP_MB);
        List<String> command = new ArrayList<>(setup.pinCommand());
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), ModuleBenchmark.class.getName(), slopeName,
                Integer.toString(size), Long.toString(seed), setup.quick() ? "10" : "100"));
        Path outputFile = Files.createTempFile("probe", ".json");
        Path errorFile = Files.createTempFile("probe", ".log");
        try {
            runProcess(command, outputFile, errorFile);
            Map<String, Object> values = JsonMapper.builder().build().readValue(Files.readAllBytes(outputFile),
                    new TypeReference<LinkedHashMap<String, Object>>() { });
            values.put("jvm", options);
            return values;
        } finally {
            Files.delete(outputFile);
            Files.delete(errorFile);
        }
    }

    private static void runProcess(List<String> command, Path outputFile, Path errorFile) throws Exception {
        Process process = new ProcessBuilder(command).redirectOutput(outputFile.toFile())
                .redirectError(errorFile.toFile()).start();
        try {
            if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new Slope.MeasurementFailedException("not finished within " + TIMEOUT_SECONDS + " s");
            }
        } finally {
            process.destroyForcibly().waitFor();
        }
        if (process.exitValue() != 0) {
            throw new Slope.MeasurementFailedException(firstLine(errorFile));
        }
    }

    private static String firstLine(Path file) throws IOException {
        return Files.readString(file, StandardCharsets.UTF_8).lines().findFirst()
                .orElse("failed without an error message");
    }
}
