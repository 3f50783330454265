package kestreldeal.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Measures costs at several sizes and says how each grows. */
@Command(name = "slopes", mixinStandardHelpOptions = true)
final class SlopesCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return 0;
    }
}
