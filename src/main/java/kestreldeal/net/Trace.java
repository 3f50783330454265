package kestreldeal.net;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;

/**
 * Trace of what happens to each message, for following one message by its id. Each step is a line with the monotonic
 * clock in milliseconds, the step, the message's id and details of the step. Tracing is off unless the environment
 * names a file.
 */
final class Trace {
    /** The environment variable that names the file; further runs of a sender append to it. */
    static final String FILE_VARIABLE = "GW_TRACE";
    static final Trace OFF = new Trace(Optional.empty());

    private final Optional<PrintWriter> output;

    private Trace(Optional<PrintWriter> output) {
        this.output = output;
    }

    /** The trace that the environment asks for, which may be {@link #OFF}. */
    static Trace fromEnvironment(Map<String, String> environment) throws IOException {
        if (!environment.containsKey(FILE_VARIABLE)) {
            return OFF;
        }
        return new Trace(Optional.of(new PrintWriter(Files.newBufferedWriter(Path.of(environment.get(FILE_VARIABLE)),
                StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND), true)));
    }

    /** Writes a step of the message with this id. */
    void step(String step, String id, Object... details) {
        output.ifPresent(writer -> {
            StringBuilder line = new StringBuilder().append(System.nanoTime() / 1_000_000).append(' ').append(step)
                    .append(' ').append(id);
            for (Object detail : details) {
                line.append(' ').append(detail);
            }
            writer.println(line);
        });
    }
}
