package kestreldeal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings of one sender by their dotted names, and what the module is told of them. Shared by the
 * adapter and the real sender, lest the two read one setting in two ways; unknown ones are never asked for.
 */
public record Params(Map<String, String> values) {
    /** The names of the figures in reports: the rate of a destination's limit, and the share of it that is left. */
    public static final String REPORTED_RATE_FIELD = "x1";
    public static final String REPORTED_SHARE_LEFT_FIELD = "x0";

    /** The module's settings. */
    public Relay.Settings settings() throws InvalidInputException {
        List<Relay.MessageClass> classes = new ArrayList<>();
        for (int i = 0; i < atLeastOne("classes.count"); i++) {
            String prefix = "classes." + i + ".";
            Relay.Effect effect = switch (text(prefix + "repeat")) {
                case "safe" -> Relay.Effect.SAFE;
                case "keyed" -> Relay.Effect.KEYED;
                case "unsafe" -> Relay.Effect.UNSAFE;
                default -> throw new InvalidInputException("unknown value of " + prefix + "repeat");
            };
            classes.add(new Relay.MessageClass(atLeastOne(prefix + "aim_ms"), atLeastOne(prefix + "give_up_ms"),
                    numberOrDefault(prefix + "worth", 1), numberOrDefault(prefix + "late_worth", 0), effect,
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

    /** A deployment may name its kinds only: then they share limits and take one message in a call. */
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

    /** The names of the figures that an answer's report holds, in their order on the wire. */
    public List<String> reportFields() {
        return list("reporting.fields");
    }

    /** The value of a setting that must be there. */
    public String text(String name) throws InvalidInputException {
        String value = values.get(name);
        if (value == null) {
            throw new InvalidInputException("setting " + name + " is missing");
        }
        return value;
    }

    /** The value of a setting, or what stands for its absence. */
    public String textOrDefault(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** The number in a setting that must be there. */
    public double number(String name) throws InvalidInputException {
        return parse(name, text(name));
    }

    /** A count, or a time in milliseconds, that means nothing under 1. */
    public double atLeastOne(String name) throws InvalidInputException {
        double value = number(name);
        if (value < 1) {
            throw new InvalidInputException("setting " + name + " is under 1: " + text(name));
        }
        return value;
    }

    /** The number in a setting, or what stands for its absence. */
    public double numberOrDefault(String name, double defaultValue) throws InvalidInputException {
        return values.containsKey(name) ? number(name) : defaultValue;
    }

    /** Whether a switch is on; an absent one is off. */
    public boolean flag(String name) {
        return textOrDefault(name, "false").equals("true");
    }

    /** The parts of a list of plain values; none where it is absent. */
    public List<String> list(String name) {
        String value = textOrDefault(name, "");
        return value.isEmpty() || value.equals("-") ? List.of() : List.of(value.split(","));
    }

    /** A setting's number; none is endless. */
    private static double parse(String name, String value) throws InvalidInputException {
        try {
            double number = parse(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (InvalidInputException e) {
            // Told below, like what is no finite number.
        }
        throw new InvalidInputException("setting " + name + " is not a number: " + value);
    }

    /** A number in the wire's form. */
    static double parse(String value) throws InvalidInputException {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("not a number: " + value);
        }
    }
}
