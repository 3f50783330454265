package kestreldeal.scale;

import java.util.concurrent.Callable;
import kestreldeal.scale.fleet.FleetCommand;
import kestreldeal.scale.soak.SoakCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command of the scale tests; a sender never loads it. */
@Command(name = "kestreldeal-scale", mixinStandardHelpOptions = true,
        description = "Measures how what a sender costs grows with what it knows, holds and does.",
        subcommands = {SlopesCommand.class, FleetCommand.class, SoakCommand.class})
public final class ScaleMain implements Callable<Integer> {
    private ScaleMain() {
    }

    /** Runs a subcommand; bad arguments end with one plain message and exit code 2, a failed run with 1. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** The same, without the end of this process. */
    static int run(String... args) {
        return new CommandLine(new ScaleMain())
                .setParameterExceptionHandler((fault, rest) -> {
                    String text = String.valueOf(fault.getMessage()).replaceAll("\\s*\\R\\s*", " ");
                    fault.getCommandLine().getErr().println(text);
                    return CommandLine.ExitCode.USAGE;
                })
                .setExecutionExceptionHandler((fault, command, parsed) -> {
                    command.getErr().println(command.getCommandName() + " broke off: " + fault);
                    return CommandLine.ExitCode.SOFTWARE;
                })
                .execute(args);
    }

    /** Without a subcommand there is nothing to run. */
    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(new CommandLine(this), "say what to run: one of the subcommands "
                + "in --help");
    }
}
