package kestreldeal.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import kestreldeal.InvalidInputException;
import kestreldeal.Params;
import kestreldeal.Relay;

/**
 * The configuration of a sender, from its environment variables and its JSON file. A variable takes precedence over the
 * file, except for the address of discovery: the file may be replaced while the sender runs, and the environment then
 * still has the old address, even after a restart. Settings keep their dotted names, so that the sender and the
 * simulator's adapter read them in the same way.
 */
record Config(String name, InetSocketAddress clientAddress, Optional<InetSocketAddress> operatorAddress,
              InetSocketAddress agentAddress, Path stateFolder, long seed,
              int maxSockets, long diskBytes, Relay.Settings settings, List<String> classNames,
              List<String> tenantNames, List<String> kindNames, List<String> zoneNames, int maxPendingMessages,
              double connectTimeoutMs, Path file) {
    /** Name of the field with the endpoints that were known when the file was written; {@link Discovery} reads it. */
    static final String KNOWN_ENDPOINTS_FIELD = "known";
    /** Upper limit, since the journal is read into memory as a whole at the start, and files count as memory. */
    private static final double MAX_DISK_MB = 12;

    static Config read(Map<String, String> env) throws IOException, InvalidInputException {
        Path file = Path.of(requiredVariable(env, "GW_CONFIG"));
        JsonNode json = readJson(file);
        Map<String, String> values = new HashMap<>();
        flatten("", json.path("settings"), values);
        Params settings = new Params(values);
        Map<String, String> limitValues = new HashMap<>();
        flatten("limits", json.path("limits"), limitValues);
        Params limits = new Params(limitValues);
        double diskMb = Math.min(limits.numberOrDefault("limits.disk_mb", MAX_DISK_MB), MAX_DISK_MB);
        return new Config(
                env.getOrDefault("GW_NAME", json.path("name").asText("sender")),
                parseAddress(env.getOrDefault("GW_LISTEN", json.path("listen").asText())),
                parseOptionalAddress(env.getOrDefault("GW_OPS", json.path("ops").asText())),
                parseAddress(json.path("discovery").asText(env.getOrDefault("GW_DISCOVERY", ""))),
                Path.of(requiredVariable(env, "GW_STATE")),
                parseSeed(json.path("seed").asText("0")),
                (int) limits.numberOrDefault("limits.sockets", 1024),
                (long) (diskMb * 1_000_000),
                settings.settings(),
                readNames(settings, "classes"),
                readNames(settings, "tenants"),
                settings.list("flavors"),
                settings.list("zones"),
                values.containsKey("limits.max_open") ? (int) settings.atLeastOne("limits.max_open")
                        : Integer.MAX_VALUE,
                settings.numberOrDefault("limits.dial_timeout_ms", 1000),
                file);
    }

    /** Reads everything but the list of endpoints, which may be far longer than the rest and would stay in memory. */
    private static JsonNode readJson(Path file) throws IOException, InvalidInputException {
        JsonMapper mapper = JsonMapper.builder().build();
        ObjectNode json = mapper.createObjectNode();
        try (JsonParser parser = mapper.createParser(Files.newInputStream(file))) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals(KNOWN_ENDPOINTS_FIELD)) {
                    parser.skipChildren();
                } else {
                    json.set(name, mapper.<JsonNode>readTree(parser));
                }
            }
            return json;
        } catch (JsonProcessingException e) {
            // The complete message has several lines.
            throw new InvalidInputException(file + " is not JSON: " + e.getOriginalMessage());
        }
    }

    /** Parses an address such as {@code 10.0.0.4:7070}; there is no DNS, so a host name is an error. */
    static InetSocketAddress parseAddress(String text) throws InvalidInputException {
        int colon = text.lastIndexOf(':');
        try {
            if (colon < 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                throw new InvalidInputException("not an address with a port: '" + text + "'");
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidInputException("not an address with a port: '" + text + "'");
        }
    }

    /** Parses an address that a deployment may leave out. */
    private static Optional<InetSocketAddress> parseOptionalAddress(String text) throws InvalidInputException {
        return text.isEmpty() ? Optional.empty() : Optional.of(parseAddress(text));
    }

    /** Flattens nested JSON to the dotted names of settings that the simulator uses. */
    static void flatten(String name, JsonNode node, Map<String, String> values) {
        if (node.isObject()) {
            String prefix = name.isEmpty() ? "" : name + ".";
            node.properties().forEach(e -> flatten(prefix + e.getKey(), e.getValue(), values));
        } else if (node.isArray() && (node.isEmpty() || !node.get(0).isObject())) {
            List<String> items = new ArrayList<>();
            node.forEach(item -> items.add(item.asText()));
            values.put(name, String.join(",", items));
        } else if (node.isArray()) {
            values.put(name + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(name + "." + i, node.get(i), values);
            }
        } else if (!node.isNull()) {
            values.put(name, node.asText());
        }
    }

    private static List<String> readNames(Params settings, String listName) throws InvalidInputException {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < settings.numberOrDefault(listName + ".count", 0); i++) {
            names.add(settings.text(listName + "." + i + ".name"));
        }
        return names;
    }

    private static long parseSeed(String hex) throws InvalidInputException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("the seed is not a hexadecimal number: " + hex);
        }
    }

    private static String requiredVariable(Map<String, String> env, String name) throws InvalidInputException {
        String value = env.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidInputException(name + " is not set");
        }
        return value;
    }
}
