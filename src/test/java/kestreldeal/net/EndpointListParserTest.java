package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EndpointListParserTest {
    /** Indented, with the fields of the list after its entries, and with unknown fields. */
    private static final String LIST = """
            { "extra" : {"instances": [{"instanceId": "no"}], "reset": true, "generation": 9},
              "instances" : [
                {"instanceId": "s-1", "hostPort": "10.1.0.18:7070", "zone": "a", "machineType": "m2", "cell": 3,
                 "more": {"instanceId": "no", "deep": [1, {"cell": 4}]}, "lifecycle": "SERVING", "weight": 1.5},
                {"instanceId": "s-2", "hostPort": "nowhere", "lifecycle": "DRAINING", "cell": 5},
                {"instanceId": "s-3", "lifecycle": "DELETED", "hostPort": "10.1.0.19:1", "cell": 6}
              ],
              "generation" : 43, "reset" : true }
            """;
    private static final List<Discovery.Entry> ENTRIES = List.of(
            new Discovery.Entry("s-1", Optional.of(new InetSocketAddress("10.1.0.18", 7070)), "a", "m2", 3, true, 1.5,
                    false),
            new Discovery.Entry("s-2", Optional.empty(), "", "", 5, false, 0, false),
            new Discovery.Entry("s-3", Optional.of(new InetSocketAddress("10.1.0.19", 1)), "", "", 6, false, 0, true));

    @TempDir
    private Path folder;
    private final List<List<Discovery.Entry>> batches = new ArrayList<>();
    private final EndpointListParser parser = new EndpointListParser(batches::add);

    private static ByteBuf bytes(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns an entry; entries differ by their number only. */
    static String entry(int number, String lifecycle) {
        return "{\"instanceId\":\"s-" + number + "\",\"hostPort\":\"10.0." + number / 250 % 250 + "." + number % 250
                + ":7070\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":" + number / 2 + ",\"lifecycle\":\""
                + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    static String list(long generation, int entries) {
        return "{\"instances\":[" + IntStream.range(0, entries).mapToObj(i -> entry(i, "SERVING"))
                .collect(Collectors.joining(",\n  ")) + "],\"generation\":" + generation + ",\"reset\":true}";
    }

    @Test
    void listDoesNotDependOnChunkBoundaries() throws IOException {
        for (int chunkSize = 1; chunkSize <= LIST.length(); chunkSize++) {
            List<Discovery.Entry> read = new ArrayList<>();
            EndpointListParser chunkedParser = new EndpointListParser(read::addAll);
            for (int position = 0; position < LIST.length(); position += chunkSize) {
                chunkedParser.feed(bytes(LIST.substring(position, Math.min(LIST.length(), position + chunkSize))));
            }
            chunkedParser.end();
            assertTrue(chunkedParser.isComplete());
            assertEquals(43, chunkedParser.generation());
            assertTrue(chunkedParser.isFullList());
            assertEquals(ENTRIES, read, "in chunks of " + chunkSize);
        }
    }

    /** A chunk may be a view into a larger buffer, or a direct buffer outside the heap. */
    @Test
    void chunkMayBeAnyKindOfBuffer() throws IOException {
        String padded = "xx" + LIST + "xx";
        parser.feed(bytes(padded).slice(2, 100));
        parser.feed(Unpooled.directBuffer().writeBytes(bytes(padded), 102, LIST.length() - 100));
        parser.end();
        assertEquals(List.of(ENTRIES), batches);
    }

    @Test
    void entriesArePassedOnWhileTheListIsRead() throws IOException {
        String list = list(1, 2 * EndpointListParser.MAX_BATCH_ENTRIES + 3);
        int cut = list.indexOf("s-" + (EndpointListParser.MAX_BATCH_ENTRIES + 1) + "\"");
        parser.feed(bytes(list.substring(0, cut)));
        assertEquals(List.of(EndpointListParser.MAX_BATCH_ENTRIES), batches.stream().map(List::size).toList());
        parser.feed(bytes(list.substring(cut)));
        parser.end();
        assertEquals(List.of(EndpointListParser.MAX_BATCH_ENTRIES, EndpointListParser.MAX_BATCH_ENTRIES, 3),
                batches.stream().map(List::size).toList());
        assertEquals("s-" + (2 * EndpointListParser.MAX_BATCH_ENTRIES + 2), batches.get(2).get(2).id());
    }

    @Test
    void truncatedListIsIncomplete() throws IOException {
        String list = list(1, 3);
        parser.feed(bytes(list.substring(0, list.length() - 1)));
        assertThrows(JsonProcessingException.class, parser::end);
        assertFalse(parser.isComplete());
        assertEquals(List.of(), batches);
    }

    @Test
    void malformedListIsIncomplete() {
        assertThrows(JsonProcessingException.class, () -> parser.feed(bytes(list(1, 3).replace("},", "}#"))));
        assertFalse(parser.isComplete());
        assertEquals(List.of(), batches);
    }

    @Test
    void listWithoutRequiredFieldsIsIncomplete() throws IOException {
        for (String text : List.of("", "[]", "7", "{}", "{\"generation\":1}", "{\"instances\":[]}",
                "{\"generation\":1,\"instances\":{}}", "{\"generation\":\"1\",\"instances\":[]}",
                "{\"generation\":1.5,\"instances\":[]}")) {
            EndpointListParser listParser = new EndpointListParser(batches::add);
            listParser.feed(bytes(text));
            listParser.end();
            assertFalse(listParser.isComplete(), text);
        }
        parser.feed(bytes("{\"generation\":1,\"instances\":[]}"));
        parser.end();
        assertTrue(parser.isComplete());
        assertFalse(parser.isFullList());
    }

    /** A value that never ends would otherwise be collected in memory. */
    @Test
    void textLengthIsLimited() {
        StreamConstraintsException tooLong = assertThrows(StreamConstraintsException.class, () -> {
            parser.feed(bytes("{\"instances\":[{\"instanceId\":\""));
            for (int i = 0; i < 3 * EndpointListParser.MAX_TEXT_CHARS; i++) {
                parser.feed(bytes("x"));
            }
            parser.feed(bytes("\""));
        });
        assertTrue(tooLong.getMessage().contains(Integer.toString(EndpointListParser.MAX_TEXT_CHARS)),
                tooLong.getMessage());
    }

    @Test
    void listInAConfigurationIsRead() throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"settings\":{\"known\":{\"instances\":[{}]}},\"known\":" + LIST + ",\"more\":1}");
        assertTrue(EndpointListParser.readFile(file, "known", batches::add));
        assertEquals(List.of(ENTRIES), batches);
        assertFalse(EndpointListParser.readFile(file, "settings", batches::add));
        assertFalse(EndpointListParser.readFile(file, "more", batches::add));
        assertFalse(EndpointListParser.readFile(file, "other", batches::add));
        assertEquals(1, batches.size());
    }
}
