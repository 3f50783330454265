package kestreldeal;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import kestreldeal.net.Sender;

/**
 * The command line: {@code serve} runs a real sender, {@code drill} answers the simulator's line protocol on
 * standard input and output.
 */
public final class Main {
    /** The option for a platform that allows only one process for each sender. */
    private static final String ALONE = "--alone";

    private Main() {
    }

    /** Runs the command named by the first argument; other arguments print the usage and exit with code 2. */
    public static void main(String[] args) {
        boolean alone = List.of(args).equals(List.of("serve", ALONE));
        if (!alone && (args.length != 1 || !List.of("drill", "serve").contains(args[0]))) {
            System.err.println("usage: java -jar kestreldeal.jar drill | serve [" + ALONE + "]");
            System.err.println("  drill   answer the simulator's line protocol on standard input and output");
            System.err.println("  serve   run a sender on real sockets, configured by environment variables");
            System.err.println("  " + ALONE + " opens no Unix socket: a second process waits until the first exits");
            System.exit(2);
        }
        if (args[0].equals("serve")) {
            System.exit(Sender.serve(System.getenv(), !alone));
        }
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        PrintStream replies = new PrintStream(out, false, StandardCharsets.UTF_8);
        System.exit(new SimulatorAdapter(System.in, replies, System.err).run());
    }
}
