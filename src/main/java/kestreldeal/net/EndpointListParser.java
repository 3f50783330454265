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
    private static final int MAX_NESTING_DEPTH = 64;
    /** Nesting depth of the fields of the list. */
    private static final int LIST_FIELD_DEPTH = 1;
    /** Nesting depth of the fields of an entry. */
    private static final int ENTRY_FIELD_DEPTH = 3;
    // Field names come from outside; interning them would cost time, and memory that may never be freed.
    private static final JsonFactory JSON = JsonFactory.builder().disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder().maxStringLength(MAX_TEXT_CHARS)
                    .maxNameLength(MAX_TEXT_CHARS).maxNestingDepth(MAX_NESTING_DEPTH).build()).build();

    private final Consumer<List<Discovery.Entry>> batchConsumer;
    private final JsonParser parser;
    private List<Discovery.Entry> batch = new ArrayList<>();
    private int depth;
    /** The last field name at the top level. */
    private String listField = "";
    /** Whether the array of entries is being read. */
    private boolean inInstances;
    private boolean instancesSeen;
    private boolean generationSeen;
    private long generation;
    private boolean fullList;
    private EntryBuilder currentEntry;

    /** Collects the fields of an entry while it is read. */
    private static final class EntryBuilder {
        private String id = "";
        private String hostPort = "";
        private String zone = "";
        private String kind = "";
        private long destination;
        private String lifecycle = "";
        private double weight;

        void setField(String name, JsonParser value) throws IOException {
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

        Discovery.Entry build() {
            boolean removed = lifecycle.equals("DELETED");
            try {
                return new Discovery.Entry(id, Optional.of(Config.parseAddress(hostPort)), zone, kind, destination,
                        lifecycle.equals("SERVING"), weight, removed);
            } catch (InvalidInputException e) {
                return new Discovery.Entry(id, Optional.empty(), zone, kind, destination, false, weight,
                        removed);
            }
        }
    }

    /** Creates a parser that is fed with the chunks of a response body. */
    EndpointListParser(Consumer<List<Discovery.Entry>> batchConsumer) {
        this(batchConsumer, newNonBlockingParser());
    }

    private EndpointListParser(Consumer<List<Discovery.Entry>> batchConsumer, JsonParser parser) {
        this.batchConsumer = batchConsumer;
        this.parser = parser;
    }

    private static JsonParser newNonBlockingParser() {
        try {
            return JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            // Not expected: creating the parser reads nothing.
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the list under this field of a configuration file; returns whether there is one. */
    static boolean readFile(Path file, String fieldName,
            Consumer<List<Discovery.Entry>> batchConsumer) throws IOException {
        try (JsonParser json = JSON.createParser(Files.newInputStream(file))) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                boolean found = json.currentName().equals(fieldName);
                if (json.nextToken() == JsonToken.START_OBJECT && found) {
                    EndpointListParser listParser = new EndpointListParser(batchConsumer, json);
                    listParser.handleToken(json.currentToken());
                    listParser.readRemaining();
                    return listParser.instancesSeen;
                }
                json.skipChildren();
            }
            return false;
        }
    }

    /** Parses the next chunk of the body. */
    void feed(ByteBuf chunk) throws IOException {
        ByteArrayFeeder feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        byte[] bytes = chunk.hasArray() ? chunk.array() : ByteBufUtil.getBytes(chunk);
        int from = chunk.hasArray() ? chunk.arrayOffset() + chunk.readerIndex() : 0;
        feeder.feedInput(bytes, from, from + chunk.readableBytes());
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            handleToken(token);
        }
    }

    /** Ends the body, and passes on the last batch. Throws if the JSON is incomplete. */
    void end() throws IOException {
        ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).endOfInput();
        readRemaining();
    }

    private void readRemaining() throws IOException {
        for (JsonToken token = parser.nextToken(); token != null && depth > 0; token = parser.nextToken()) {
            handleToken(token);
        }
        if (depth == 0 && instancesSeen) {
            flushBatch();
        }
    }

    /** Whether a complete list was read; {@link #generation} and {@link #isFullList} are valid only then. */
    boolean isComplete() {
        return depth == 0 && generationSeen && instancesSeen;
    }

    long generation() {
        return generation;
    }

    /** Whether the list is full, that is, names all endpoints that exist. */
    boolean isFullList() {
        return fullList;
    }

    private void handleToken(JsonToken token) throws IOException {
        if (token.isStructStart()) {
            if (depth == LIST_FIELD_DEPTH) {
                inInstances = token == JsonToken.START_ARRAY && listField.equals("instances");
                instancesSeen |= inInstances;
            }
            depth++;
            if (inInstances && depth == ENTRY_FIELD_DEPTH && token == JsonToken.START_OBJECT) {
                currentEntry = new EntryBuilder();
            }
        } else if (token.isStructEnd()) {
            if (currentEntry != null && depth == ENTRY_FIELD_DEPTH) {
                addToBatch(currentEntry.build());
                currentEntry = null;
            }
            depth--;
            inInstances &= depth > LIST_FIELD_DEPTH;
        } else if (token == JsonToken.FIELD_NAME) {
            listField = depth == LIST_FIELD_DEPTH ? parser.currentName() : listField;
        } else if (depth == LIST_FIELD_DEPTH) {
            handleListField(token);
        } else if (currentEntry != null && depth == ENTRY_FIELD_DEPTH) {
            currentEntry.setField(parser.currentName(), parser);
        }
    }

    private void handleListField(JsonToken token) throws IOException {
        if (listField.equals("generation") && token == JsonToken.VALUE_NUMBER_INT) {
            generation = parser.getLongValue();
            generationSeen = true;
        } else if (listField.equals("reset")) {
            fullList = token == JsonToken.VALUE_TRUE;
        }
    }

    private void addToBatch(Discovery.Entry entry) {
        batch.add(entry);
        if (batch.size() == MAX_BATCH_ENTRIES) {
            flushBatch();
        }
    }

    private void flushBatch() {
        if (!batch.isEmpty()) {
            List<Discovery.Entry> fullBatch = batch;
            batch = new ArrayList<>();
            batchConsumer.accept(fullBatch);
        }
    }
}
