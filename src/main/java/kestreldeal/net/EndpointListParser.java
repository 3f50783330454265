package kestreldeal.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import kestreldeal.InvalidInputException;

/**
 * Reads a list of endpoints as it comes, by Jackson's non-blocking parser, and hands its entries on in portions: no
 * more of a list is held than a portion, however long it is. What stands beside the entries may come before or behind
 * them, so it is only known once the list has been read to its end. Its bounds are on the text of one value or
 * name and on nesting, never on the list.
 */
final class EndpointListParser {
    /** Entries handed on at once: few enough for the event loop's other work, enough for what a portion costs. */
    static final int PORTION = 512;
    /** Longest text of a value, in characters; the longest that means something is a tenth of that. */
    static final int LONGEST_TEXT = 4096;
    private static final int DEEPEST = 64;
    /** Depth of what stands beside the entries, and of what an entry says. */
    private static final int AT_TOP = 1;
    private static final int IN_ENTRY = 3;
    // Names are no program's: interning them costs time and memory that is not given back.
    private static final JsonFactory JSON = JsonFactory.builder().disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder().maxStringLength(LONGEST_TEXT)
                    .maxNameLength(LONGEST_TEXT).maxNestingDepth(DEEPEST).build()).build();

    private final Consumer<List<Discovery.Entry>> portions;
    private final JsonParser parser;
    private List<Discovery.Entry> portion = new ArrayList<>();
    private int depth;
    /** The last name at the top, and whether the array of that name is being read. */
    private String top = "";
    private boolean inInstances;
    private boolean instancesRead;
    private boolean generationRead;
    private long generation;
    private boolean reset;
    private Draft draft;

    /** An entry of which some fields have come. */
    private static final class Draft {
        private String id = "";
        private String hostPort = "";
        private String zone = "";
        private String kind = "";
        private long destination;
        private String lifecycle = "";
        private double weight;

        void field(String name, JsonParser value) throws IOException {
            switch (name) {
                case "instanceId" -> id = value.getText();
                case "hostPort" -> hostPort = value.getText();
                case "zone" -> zone = value.getText();
                case "machineType" -> kind = value.getText();
                case "cell" -> destination = value.getValueAsLong();
                case "lifecycle" -> lifecycle = value.getText();
                case "weight" -> weight = value.getValueAsDouble();
                default -> { }
            }
        }

        Discovery.Entry entry() {
            boolean gone = lifecycle.equals("DELETED");
            try {
                return new Discovery.Entry(id, Optional.of(Config.parseAddress(hostPort)), zone, kind, destination,
                        lifecycle.equals("SERVING"), weight, gone);
            } catch (InvalidInputException e) {
                return new Discovery.Entry(id, Optional.empty(), zone, kind, destination, false, weight,
                        gone);
            }
        }
    }

    /** A reader that is fed with an answer's body. */
    EndpointListParser(Consumer<List<Discovery.Entry>> portions) {
        this(portions, nonBlocking());
    }

    private EndpointListParser(Consumer<List<Discovery.Entry>> portions, JsonParser parser) {
        this.portions = portions;
        this.parser = parser;
    }

    private static JsonParser nonBlocking() {
        try {
            return JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            // It reads nothing yet.
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the list that a configuration holds under this name; whether there is one. */
    static boolean read(Path file, String name, Consumer<List<Discovery.Entry>> portions) throws IOException {
        try (JsonParser json = JSON.createParser(Files.newInputStream(file))) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                boolean found = json.currentName().equals(name);
                if (json.nextToken() == JsonToken.START_OBJECT && found) {
                    EndpointListParser reader = new EndpointListParser(portions, json);
                    reader.takeValue(json.currentToken());
                    reader.rest();
                    return reader.instancesRead;
                }
                json.skipChildren();
            }
            return false;
        }
    }

    /** Reads one more piece of the body. */
    void feed(ByteBuf piece) throws IOException {
        ByteArrayFeeder feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        byte[] bytes = piece.hasArray() ? piece.array() : ByteBufUtil.getBytes(piece);
        int from = piece.hasArray() ? piece.arrayOffset() + piece.readerIndex() : 0;
        feeder.feedInput(bytes, from, from + piece.readableBytes());
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            takeValue(token);
        }
    }

    /** The body is over; an error where it is none that ends here. The last portion is handed on. */
    void end() throws IOException {
        ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).endOfInput();
        rest();
    }

    private void rest() throws IOException {
        for (JsonToken token = parser.nextToken(); token != null && depth > 0; token = parser.nextToken()) {
            takeValue(token);
        }
        if (depth == 0 && instancesRead) {
            handOn();
        }
    }

    /** Whether what was read to its end is a list: only then do the other answers mean something. */
    boolean isList() {
        return depth == 0 && generationRead && instancesRead;
    }

    long generation() {
        return generation;
    }

    /** It names all endpoints that there are. */
    boolean reset() {
        return reset;
    }

    private void takeValue(JsonToken token) throws IOException {
        if (token.isStructStart()) {
            if (depth == AT_TOP) {
                inInstances = token == JsonToken.START_ARRAY && top.equals("instances");
                instancesRead |= inInstances;
            }
            depth++;
            if (inInstances && depth == IN_ENTRY && token == JsonToken.START_OBJECT) {
                draft = new Draft();
            }
        } else if (token.isStructEnd()) {
            if (draft != null && depth == IN_ENTRY) {
                take(draft.entry());
                draft = null;
            }
            depth--;
            inInstances &= depth > AT_TOP;
        } else if (token == JsonToken.FIELD_NAME) {
            top = depth == AT_TOP ? parser.currentName() : top;
        } else if (depth == AT_TOP) {
            takeTop(token);
        } else if (draft != null && depth == IN_ENTRY) {
            draft.field(parser.currentName(), parser);
        }
    }

    private void takeTop(JsonToken token) throws IOException {
        if (top.equals("generation") && token == JsonToken.VALUE_NUMBER_INT) {
            generation = parser.getLongValue();
            generationRead = true;
        } else if (top.equals("reset")) {
            reset = token == JsonToken.VALUE_TRUE;
        }
    }

    private void take(Discovery.Entry entry) {
        portion.add(entry);
        if (portion.size() == PORTION) {
            handOn();
        }
    }

    private void handOn() {
        if (!portion.isEmpty()) {
            List<Discovery.Entry> full = portion;
            portion = new ArrayList<>();
            portions.accept(full);
        }
    }
}
