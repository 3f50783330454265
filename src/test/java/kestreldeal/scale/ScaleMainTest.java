package kestreldeal.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScaleMainTest {
    private record RunResult(int code, String out, String err) {
    }

    private static RunResult run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
        try {
            int code = ScaleMain.run(args);
            return new RunResult(code, capturedOut.toString(StandardCharsets.UTF_8),
                    capturedErr.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "'';subcommands",
        "nothing;nothing",
        "slopes --only nix;no slope 'nix': the slopes are waiting, listed",
        "slopes --sizes 10,x;'x' is not an int",
        "slopes --sizes 10;at least two different sizes",
        "slopes --sizes 10,10;at least two different sizes",
        "slopes --sizes 0,10;from 1 to 1000000",
        "slopes --repeats 0;from 1 to 20",
        "slopes --limit-s 0;at least 1",
        "slopes --seed later;'later' is not a long",
        "slopes --nix;--nix",
    })
    void invalidArgumentsGiveAOneLineMessage(String commandLine, String expected) {
        RunResult result = run(commandLine.isEmpty() ? new String[0] : commandLine.split(" "));
        assertEquals(2, result.code());
        assertEquals(1, result.err().lines().count(), result.err());
        assertTrue(result.err().contains(expected), result.err());
        assertEquals("", result.out());
    }

    @Test
    void helpListsTheSubcommandsAndTheirOptions() {
        RunResult tool = run("--help");
        assertEquals(0, tool.code());
        assertTrue(tool.out().contains("slopes"), tool.out());
        RunResult slopes = run("slopes", "--help");
        assertEquals(0, slopes.code());
        for (String option : new String[] {"--only", "--sizes", "--repeats", "--seed", "--out", "--quick"}) {
            assertTrue(slopes.out().contains(option), option);
        }
        assertFalse(slopes.out().contains("Exception"));
    }
}
