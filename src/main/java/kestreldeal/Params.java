package kestreldeal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings of one sender by their dotted names, and the decision module's settings that follow from them. The
 * simulator adapter and the real sender share this class so that both interpret a setting alike. Unknown settings
 * are ignored.
 */
public record Params(Map<String, String> values) {
    /** The names of the fields of a load report: the rate limit of a destination, and the share of it that is left. */
    public static final String REPORTED_RATE_FIELD = "x1";
    public static final String REPORTED_SHARE_LEFT_FIELD = "x0";

    /** Returns the settings of the decision module. */
    public Relay.Settings settings() throws InvalidInputException {
        List<Relay.MessageClass> classes = new ArrayList<>();
        for (int i = 0; i < atLeastOne("classes.count"); i++) {
            String prefix = "classes." + i + ".";
            Relay.Repeat repeat = switch (text(prefix + "repeat")) {
                case "safe" -> Relay.Repeat.SAFE;
                case "keyed" -> Relay.Repeat.KEYED;
                case "unsafe" -> Relay.Repeat.UNSAFE;
                default -> throw new InvalidInputException("unknown value of " + prefix + "repeat");
            };
            classes.add(new Relay.MessageClass(atLeastOne(prefix + "aim_ms"), atLeastOne(prefix + "give_up_ms"),
                    numberOrDefault(prefix + "worth", 1), numberOrDefault(prefix + "late_worth", 0), repeat,
                    !textOrDefault(prefix + "dedup_scope", "all").equals("all"),
                    numberOrDefault(prefix + "window_ms", 0), flag(prefix + "sequential")));
        }
        List<Double> fees = new ArrayList<>();
        for (String fee : list("family_info.carriage")) {
            fees.add(parse("family_info.carriage", fee));
        }
        Relay.Decay decay = textOrDefault("family_info.decay", "line").equals("halves")
                ? Relay.Decay.HALVING : Relay.Decay.LINEAR;
        Relay.SlowStart slowStart = new Relay.SlowStart(number("rules.start_capacity"),
                number("rules.warm_after_ms"), number("rules.fall_multiple"), number("rules.fall_ms"));
        boolean ratesListed = !textOrDefault("weight_kind", "none").equals("none");
        return new Relay.Settings(classes, kinds(), ratesListed, decay, fees,
                (int) atLeastOne("fleet_size"), (int) atLeastOne("family_info.workers"),
                (int) atLeastOne("limits.most_tries"), flag("limits.second_copies"), flag("limits.cancel"),
                numberOrDefault("rules.order_pause_ms", 0), numberOrDefault("limits.keepalive_ms", 0), slowStart);
    }

    /**
     * Returns the kinds of destination. A deployment may set only their names: then the endpoints of a destination
     * share its rate limit, and a call carries one message.
     */
    private List<Relay.DestinationKind> kinds() throws InvalidInputException {
        List<String> routes = list("family_info.separate_routes");
        List<String> batches = list("family_info.batch_by_kind");
        int count = Math.max(list("flavors").size(), Math.max(routes.size(), batches.size()));
        List<Relay.DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < Math.max(1, count); i++) {
            kinds.add(new Relay.DestinationKind(i < routes.size() && routes.get(i).equals("true"),
                    i < batches.size() ? (int) parse("family_info.batch_by_kind", batches.get(i)) : 1));
        }
        return kinds;
    }

    /** Returns the names of the fields of a response's load report, in their order on the wire. */
    public List<String> reportFields() {
        return list("reporting.fields");
    }

    /** Returns the value of a required setting. */
    public String text(String name) throws InvalidInputException {
        String value = values.get(name);
        if (value == null) {
            throw new InvalidInputException("setting " + name + " is missing");
        }
        return value;
    }

    public String textOrDefault(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns the number in a required setting. */
    public double number(String name) throws InvalidInputException {
        return parse(name, text(name));
    }

    /** Returns a required count, or time in milliseconds, of at least 1. */
    public double atLeastOne(String name) throws InvalidInputException {
        double value = number(name);
        if (value < 1) {
            throw new InvalidInputException("setting " + name + " is less than 1: " + text(name));
        }
        return value;
    }

    public double numberOrDefault(String name, double defaultValue) throws InvalidInputException {
        return values.containsKey(name) ? number(name) : defaultValue;
    }

    /** Returns whether a switch is on; an absent switch is off. */
    public boolean flag(String name) {
        return textOrDefault(name, "false").equals("true");
    }

    /** Returns the elements of a comma-separated list; an absent list is empty. */
    public List<String> list(String name) {
        String value = textOrDefault(name, "");
        return value.isEmpty() || value.equals("-") ? List.of() : List.of(value.split(","));
    }

    /** Parses the number in a setting, which must be finite. */
    private static double parse(String name, String value) throws InvalidInputException {
        try {
            double number = parse(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (InvalidInputException e) {
            // Reported below, with the name of the setting, as is a number that is not finite.
        }
        throw new InvalidInputException("setting " + name + " is not a number: " + value);
    }

    /** Parses a number as it is written on the wire. */
    static double parse(String value) throws InvalidInputException {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("not a number: " + value);
        }
    }
}
