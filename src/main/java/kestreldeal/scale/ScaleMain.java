package kestreldeal.scale;

import java.util.concurrent.Callable;
import kestreldeal.scale.fleet.FleetCommand;
import kestreldeal.scale.soak.SoakCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the scale test tool, which is packaged in a jar of its own; a sender never loads it. */
@Command(name = "kestreldeal-scale", mixinStandardHelpOptions = true,
        description = "Measures how the cost of a sender grows with the size of its state and its load, and runs "
                + "simulated and real fleets under injected faults.",
        subcommands = {SlopesCommand.class, FleetCommand.class, SoakCommand.class})
public final class ScaleMain implements Callable<Integer> {
    private ScaleMain() {
    }

    /** Runs a subcommand; the exit code is 2 with a one-line message for invalid arguments, and 1 for a failed run. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs a subcommand and returns its exit code; this process goes on. */
    static int run(String... args) {
        return new CommandLine(new ScaleMain())
                .setParameterExceptionHandler((exception, unparsed) -> {
                    String text = String.valueOf(exception.getMessage()).replaceAll("\\s*\\R\\s*", " ");
                    exception.getCommandLine().getErr().println(text);
                    return CommandLine.ExitCode.USAGE;
                })
                .setExecutionExceptionHandler((exception, command, parsed) -> {
                    command.getErr().println(command.getCommandName() + " aborted: " + exception);
                    return CommandLine.ExitCode.SOFTWARE;
                })
                .execute(args);
    }

    /** Reports an error, because a subcommand is required. */
    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(new CommandLine(this), "missing subcommand; "
                + "use --help to list the subcommands");
    }
}
