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
 * Streaming parser for a list of endpoints. It uses Jackson's non-blocking parser and passes entries on in batches, so
 * that at most one batch is in memory, however long the list is. The other fields of the list may come before or after
 * the entries, so they are known only at the end. The length of a name or value and the nesting depth are limited; the
 * length of the list is not.
 */
final class EndpointListParser {
    /** Entries in a batch: few enough to leave the event loop time for other work, enough to amortize its overhead. */
    static final int MAX_BATCH_ENTRIES = 512;
    /** Max length of a name or value; valid ones have at most a tenth of that. */
    static final int MAX_TEXT_CHARS = 4096;
    private static final int DEEPEST = 64;
    /** Nesting depth of the fields of the list. */
    private static final int AT_TOP = 1;
    /** Nesting depth of the fields of an entry. */
    private static final int IN_ENTRY = 3;
    // Field names come from outside; interning them would cost time, and memory that may never be freed.
    private static final JsonFactory JSON = JsonFactory.builder().disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder().maxStringLength(MAX_TEXT_CHARS)
                    .maxNameLength(MAX_TEXT_CHARS).maxNestingDepth(DEEPEST).build()).build();

    private final Consumer<List<Discovery.Entry>> portions;
    private final JsonParser parser;
    private List<Discovery.Entry> portion = new ArrayList<>();
    private int depth;
    /** The last field name at the top level. */
    private String top = "";
    /** Whether the array of entries is being read. */
    private boolean inInstances;
    private boolean instancesRead;
    private boolean generationRead;
    private long generation;
    private boolean reset;
    private Draft draft;

    /** Collects the fields of an entry while it is read. */
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

    /** Creates a parser that is fed with the chunks of a response body. */
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
            // Not expected: creating the parser reads nothing.
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the list under this field of a configuration file; returns whether there is one. */
    static boolean readFile(Path file, String name, Consumer<List<Discovery.Entry>> portions) throws IOException {
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

    /** Parses the next chunk of the body. */
    void feed(ByteBuf piece) throws IOException {
        ByteArrayFeeder feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        byte[] bytes = piece.hasArray() ? piece.array() : ByteBufUtil.getBytes(piece);
        int from = piece.hasArray() ? piece.arrayOffset() + piece.readerIndex() : 0;
        feeder.feedInput(bytes, from, from + piece.readableBytes());
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            takeValue(token);
        }
    }

    /** Ends the body, and passes on the last batch. Throws if the JSON is incomplete. */
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

    /** Whether a complete list was read; {@link #generation} and {@link #isFullList} are valid only then. */
    boolean isComplete() {
        return depth == 0 && generationRead && instancesRead;
    }

    long generation() {
        return generation;
    }

    /** Whether the list is full, that is, names all endpoints that exist. */
    boolean isFullList() {
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
        if (portion.size() == MAX_BATCH_ENTRIES) {
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
