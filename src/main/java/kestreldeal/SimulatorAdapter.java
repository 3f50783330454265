package kestreldeal;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Translates between the simulator's line protocol and {@link Relay}, for many instances. The adapter itself makes no
 * delivery decisions.
 */
final class SimulatorAdapter {
    private final BufferedReader in;
    private final PrintStream out;
    private final PrintStream err;
    private final Map<String, Relay> instances = new HashMap<>();
    private final Map<String, List<String>> reportFields = new HashMap<>();
    private final Map<Integer, List<Relay.Endpoint>> endpointLists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private double nowMs;

    SimulatorAdapter(InputStream in, PrintStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.err = err;
    }

    /** Answers batches until the end of the input; returns the exit code: 0, or 1 after invalid or unreadable input. */
    int run() {
        try {
            for (String line = nextLine(); line != null; line = nextLine()) {
                if (!line.isEmpty()) {
                    processBatch(new Fields(line));
                }
            }
            return 0;
        } catch (InvalidInputException | IOException e) {
            err.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private String nextLine() throws IOException {
        lineNumber++;
        return in.readLine();
    }

    private void processBatch(Fields header) throws IOException, InvalidInputException {
        header.expect("BATCH");
        nowMs = header.number("clock");
        long batch = header.wholeNumber("batch");
        Set<String> changedInstances = new LinkedHashSet<>();
        reply.setLength(0);
        for (String line = nextLine(); !"FLUSH".equals(line); line = nextLine()) {
            if (line == null) {
                throw new InvalidInputException("input ends inside batch " + batch);
            }
            Fields fields = new Fields(line);
            String name = fields.text("event");
            if (name.equals("ROSTER")) {
                readEndpointList(fields);
                continue;
            }
            String instance = fields.text("instance");
            if (name.equals("KILLED")) {
                instances.remove(instance);
                changedInstances.remove(instance);
                continue;
            }
            Runnable event = parseEvent(name, instance, fields);
            changedInstances.add(instance);
            runGuarded(instance, event);
        }
        for (String instance : changedInstances) {
            runGuarded(instance, () -> relay(instance).endTurn(nowMs));
        }
        out.print(reply);
        out.print("YIELD " + batch + "\n");
        out.flush();
    }

    /** Runs an event; an exception in the decision module becomes a BUG action with its text on one line. */
    private void runGuarded(String instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            writeAction("BUG", instance, e.toString().replaceAll("\\s+", " "));
        }
    }

    private Runnable parseEvent(String name, String instance, Fields fields) throws InvalidInputException {
        switch (name) {
            case "SPAWN": {
                long seed = fields.wholeNumber("entropy");
                Params params = fields.settings();
                Relay.Settings settings = params.settings();
                reportFields.put(instance, params.reportFields());
                return () -> instances.put(instance, Relay.create(settings, seed, new WireActions(instance)));
            }
            case "UPDATE":
                return parseUpdate(instance, fields);
            case "SUBMIT":
                return parseSubmit(instance, fields);
            case "ATTEMPT_END":
                return parseAttemptEnd(instance, fields);
            case "CLIENT_LEFT": {
                long message = fields.wholeNumber("req");
                return () -> relay(instance).messageCancelled(nowMs, message);
            }
            case "TIMER":
                return () -> relay(instance).wake(nowMs);
            case "HEADERS":
            case "CHECK_RESULT":
            case "HEARD":
                return () -> relay(instance).wake(nowMs);
            default:
                throw new InvalidInputException("unknown event " + name);
        }
    }

    private Relay relay(String instance) {
        Relay relay = instances.get(instance);
        if (relay == null) {
            throw new IllegalStateException("event for an instance that is not running: " + instance);
        }
        return relay;
    }

    private void readEndpointList(Fields fields) throws IOException, InvalidInputException {
        int list = fields.index("list");
        long count = fields.wholeNumber("entries");
        List<Relay.Endpoint> rows = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = nextLine();
            if (line == null) {
                throw new InvalidInputException("input ends inside list " + list);
            }
            Fields row = new Fields(line);
            row.expect("ROW");
            long id = row.wholeNumber("endpoint");
            int zone = row.index("failure_domain");
            int kind = row.index("kind");
            long destination = row.wholeNumber("belongs_to");
            String condition = row.text("condition");
            double rate = row.numberOrDefault("scale", 0);
            rows.add(new Relay.Endpoint(id, destination, kind, zone, condition.equals("SERVING"), rate,
                    condition.equals("DELETED")));
        }
        endpointLists.put(list, rows);
    }

    private Runnable parseUpdate(String instance, Fields fields) throws InvalidInputException {
        String mode = fields.text("mode");
        if (mode.equals("refused")) {
            return () -> relay(instance).wake(nowMs);
        }
        fields.text("serial");
        List<Relay.Endpoint> entries = endpointLists.get(fields.index("list"));
        if (entries == null) {
            throw new InvalidInputException("UPDATE names a list that was not given");
        }
        boolean fullList = switch (mode) {
            case "all", "remembered" -> true;
            case "changes" -> false;
            default -> throw new InvalidInputException("unknown list mode " + mode);
        };
        return () -> {
            relay(instance).endpointsChanged(nowMs, fullList, entries);
            relay(instance).endpointListCompleted(nowMs);
        };
    }

    private Runnable parseSubmit(String instance, Fields fields) throws InvalidInputException {
        long id = fields.wholeNumber("req");
        int messageClass = fields.index("kind");
        int tenant = (int) fields.numberOrDefault("billing", 0);
        Optional<String> key = fields.optional("affinity");
        double timeLeftMs = fields.number("time_left_ms");
        fields.text("predicted_ms");
        long destination = fields.wholeNumber("to_dest");
        Relay.Message message = new Relay.Message(id, messageClass, tenant, key, timeLeftMs, destination);
        return () -> relay(instance).messageAccepted(nowMs, message);
    }

    private Runnable parseAttemptEnd(String instance, Fields fields) throws InvalidInputException {
        long message = fields.wholeNumber("req");
        int attempt = fields.index("round_no");
        fields.text("endpoint");
        Relay.Outcome outcome = parseOutcome(fields.text("state_code"));
        double durationMs = fields.number("wait_time_ms");
        boolean messageFinished = fields.wholeNumber("no_more") != 0;
        double holdMs = fields.numberOrDefault("hold_ms", 0);
        double retryAfterMs = outcome == Relay.Outcome.FULL ? holdMs : 0;
        Relay.LoadReport report = parseReport(instance, fields.optional("server_stats"));
        Relay.AttemptResult result =
                new Relay.AttemptResult(message, attempt, outcome, durationMs, messageFinished, retryAfterMs, report);
        return () -> relay(instance).attemptCompleted(nowMs, result);
    }

    private Relay.LoadReport parseReport(String instance, Optional<String> reported) throws InvalidInputException {
        List<String> names = reportFields.getOrDefault(instance, List.of());
        List<String> values = reported.map(list -> List.of(list.split(","))).orElse(List.of());
        return new Relay.LoadReport(reportValue(values, names.indexOf(Params.REPORTED_RATE_FIELD),
                Relay.LoadReport.NONE.rate()),
                reportValue(values, names.indexOf(Params.REPORTED_SHARE_LEFT_FIELD), Relay.LoadReport.NONE.left()));
    }

    private static double reportValue(List<String> values, int field,
            double defaultValue) throws InvalidInputException {
        return field < 0 || field >= values.size() ? defaultValue : Params.parse(values.get(field));
    }

    private static Relay.Outcome parseOutcome(String code) throws InvalidInputException {
        return switch (code) {
            case "success" -> Relay.Outcome.DELIVERED;
            case "failure" -> Relay.Outcome.ERROR;
            case "overloaded" -> Relay.Outcome.FULL;
            case "timed_out" -> Relay.Outcome.TIMED_OUT;
            case "unreachable" -> Relay.Outcome.UNREACHABLE;
            case "broken" -> Relay.Outcome.BROKEN;
            case "withdrawn" -> Relay.Outcome.CANCELLED;
            case "void" -> Relay.Outcome.NOT_SENT;
            default -> throw new InvalidInputException("unknown outcome " + code);
        };
    }

    private void writeAction(String name, String instance, Object... values) {
        reply.append(name).append(' ').append(instance);
        for (Object value : values) {
            reply.append(' ').append(value);
        }
        reply.append('\n');
    }

    /** Writes the actions of one instance as lines of the reply. */
    private final class WireActions implements Relay.Actions {
        private final String instance;

        WireActions(String instance) {
            this.instance = instance;
        }

        @Override
        public void send(long message, long endpoint, double timeoutMs) {
            writeAction("SUBMIT_TO", instance, message, timeoutMs, endpoint);
        }

        @Override
        public void cancel(long message, int attempt) {
            writeAction("UNDO_SEND", instance, message, attempt);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            writeAction("HANG_UP", instance, endpoint);
        }

        @Override
        public void reject(long message, double waitMs) {
            writeAction("BOUNCE", instance, message, waitMs);
        }

        @Override
        public void fail(long message) {
            writeAction("DROP_REQUEST", instance, message);
        }

        @Override
        public void wakeAt(double time) {
            writeAction("NOTIFY_ME", instance, time, 0);
        }

        @Override
        public void log(String text) {
            writeAction("DEBUG", instance, text);
        }
    }

    /** Reads the fields of one line in order. */
    private static final class Fields {
        private final String line;
        private int position;

        Fields(String line) {
            this.line = line;
        }

        String text(String field) throws InvalidInputException {
            if (position > line.length() || line.isEmpty()) {
                throw new InvalidInputException("field " + field + " is missing");
            }
            int end = line.indexOf(' ', position);
            end = end < 0 ? line.length() : end;
            String part = line.substring(position, end);
            position = end + 1;
            if (part.isEmpty()) {
                throw new InvalidInputException("field " + field + " is empty");
            }
            return part;
        }

        void expect(String word) throws InvalidInputException {
            String found = text("name");
            if (!found.equals(word)) {
                throw new InvalidInputException("expected " + word + ", found " + found);
            }
        }

        Optional<String> optional(String field) throws InvalidInputException {
            String part = text(field);
            return part.equals("-") ? Optional.empty() : Optional.of(part);
        }

        double number(String field) throws InvalidInputException {
            String part = text(field);
            try {
                return Double.parseDouble(part);
            } catch (NumberFormatException e) {
                throw new InvalidInputException("field " + field + " is not a number: " + part);
            }
        }

        double numberOrDefault(String field, double defaultValue) throws InvalidInputException {
            int from = position;
            if (optional(field).isEmpty()) {
                return defaultValue;
            }
            position = from;
            return number(field);
        }

        long wholeNumber(String field) throws InvalidInputException {
            String part = text(field);
            try {
                return Long.parseLong(part);
            } catch (NumberFormatException e) {
                throw new InvalidInputException("field " + field + " is not a whole number: " + part);
            }
        }

        int index(String field) throws InvalidInputException {
            long value = wholeNumber(field);
            if (value < 0 || value > Integer.MAX_VALUE) {
                throw new InvalidInputException("field " + field + " is out of range: " + value);
            }
            return (int) value;
        }

        Params settings() throws InvalidInputException {
            Map<String, String> values = new HashMap<>();
            while (position < line.length()) {
                String pair = text("setting");
                int cut = pair.indexOf('=');
                if (cut < 1) {
                    throw new InvalidInputException("setting without a value: " + pair);
                }
                values.put(pair.substring(0, cut), pair.substring(cut + 1));
            }
            return new Params(values);
        }
    }
}
