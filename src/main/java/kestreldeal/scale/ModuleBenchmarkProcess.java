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
    private static final int LIMIT_S = 100;

    private ModuleBenchmarkProcess() {
    }

    /** Measures once; returns the measured values and the options of the JVM. */
    static Map<String, Object> probe(MeasurementSetup setup, String what, int size, long seed) throws Exception {
        List<String> options = setup.optionsWithHeap(HEAP_MB);
        List<String> command = new ArrayList<>(setup.pin());
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), ModuleBenchmark.class.getName(), what,
                Integer.toString(size), Long.toString(seed), setup.quick() ? "10" : "100"));
        Path out = Files.createTempFile("probe", ".json");
        Path err = Files.createTempFile("probe", ".log");
        try {
            run(command, out, err);
            Map<String, Object> values = JsonMapper.builder().build().readValue(Files.readAllBytes(out),
                    new TypeReference<LinkedHashMap<String, Object>>() { });
            values.put("jvm", options);
            return values;
        } finally {
            Files.delete(out);
            Files.delete(err);
        }
    }

    private static void run(List<String> command, Path out, Path err) throws Exception {
        Process process = new ProcessBuilder(command).redirectOutput(out.toFile()).redirectError(err.toFile()).start();
        try {
            if (!process.waitFor(LIMIT_S, TimeUnit.SECONDS)) {
                throw new Slope.MeasurementFailedException("not finished within " + LIMIT_S + " s");
            }
        } finally {
            process.destroyForcibly().waitFor();
        }
        if (process.exitValue() != 0) {
            throw new Slope.MeasurementFailedException(firstLine(err));
        }
    }

    private static String firstLine(Path log) throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8).lines().findFirst()
                .orElse("failed without an error message");
    }
}
