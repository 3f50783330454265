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
    private final List<List<Discovery.Entry>> portions = new ArrayList<>();
    private final EndpointListParser reader = new EndpointListParser(portions::add);

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
    void aListIsTheSameWhereverItsBodyIsCut() throws IOException {
        for (int size = 1; size <= LIST.length(); size++) {
            List<Discovery.Entry> read = new ArrayList<>();
            EndpointListParser one = new EndpointListParser(read::addAll);
            for (int at = 0; at < LIST.length(); at += size) {
                one.feed(bytes(LIST.substring(at, Math.min(LIST.length(), at + size))));
            }
            one.end();
            assertTrue(one.isComplete());
            assertEquals(43, one.generation());
            assertTrue(one.isFullList());
            assertEquals(ENTRIES, read, "in chunks of " + size);
        }
    }

    /** A chunk may be a view into a larger buffer, or a direct buffer outside the heap. */
    @Test
    void aPieceMayLieAnywhere() throws IOException {
        String around = "xx" + LIST + "xx";
        reader.feed(bytes(around).slice(2, 100));
        reader.feed(Unpooled.directBuffer().writeBytes(bytes(around), 102, LIST.length() - 100));
        reader.end();
        assertEquals(List.of(ENTRIES), portions);
    }

    @Test
    void entriesAreHandedOnWhileTheListIsRead() throws IOException {
        String list = list(1, 2 * EndpointListParser.MAX_BATCH_ENTRIES + 3);
        int half = list.indexOf("s-" + (EndpointListParser.MAX_BATCH_ENTRIES + 1) + "\"");
        reader.feed(bytes(list.substring(0, half)));
        assertEquals(List.of(EndpointListParser.MAX_BATCH_ENTRIES), portions.stream().map(List::size).toList());
        reader.feed(bytes(list.substring(half)));
        reader.end();
        assertEquals(List.of(EndpointListParser.MAX_BATCH_ENTRIES, EndpointListParser.MAX_BATCH_ENTRIES, 3),
                portions.stream().map(List::size).toList());
        assertEquals("s-" + (2 * EndpointListParser.MAX_BATCH_ENTRIES + 2), portions.get(2).get(2).id());
    }

    @Test
    void whatBreaksOffIsNoList() throws IOException {
        String list = list(1, 3);
        reader.feed(bytes(list.substring(0, list.length() - 1)));
        assertThrows(JsonProcessingException.class, reader::end);
        assertFalse(reader.isComplete());
        assertEquals(List.of(), portions);
    }

    @Test
    void whatIsSpoiltInItsMiddleIsNoList() {
        assertThrows(JsonProcessingException.class, () -> reader.feed(bytes(list(1, 3).replace("},", "}#"))));
        assertFalse(reader.isComplete());
        assertEquals(List.of(), portions);
    }

    @Test
    void whatLacksItsPartsIsNoList() throws IOException {
        for (String text : List.of("", "[]", "7", "{}", "{\"generation\":1}", "{\"instances\":[]}",
                "{\"generation\":1,\"instances\":{}}", "{\"generation\":\"1\",\"instances\":[]}",
                "{\"generation\":1.5,\"instances\":[]}")) {
            EndpointListParser one = new EndpointListParser(portions::add);
            one.feed(bytes(text));
            one.end();
            assertFalse(one.isComplete(), text);
        }
        reader.feed(bytes("{\"generation\":1,\"instances\":[]}"));
        reader.end();
        assertTrue(reader.isComplete());
        assertFalse(reader.isFullList());
    }

    /** A value that never ends would otherwise be collected in memory. */
    @Test
    void aTextWithoutAnEndIsOverABound() {
        StreamConstraintsException over = assertThrows(StreamConstraintsException.class, () -> {
            reader.feed(bytes("{\"instances\":[{\"instanceId\":\""));
            for (int i = 0; i < 3 * EndpointListParser.MAX_TEXT_CHARS; i++) {
                reader.feed(bytes("x"));
            }
            reader.feed(bytes("\""));
        });
        assertTrue(over.getMessage().contains(Integer.toString(EndpointListParser.MAX_TEXT_CHARS)), over.getMessage());
    }

    @Test
    void aConfigurationsListIsRead() throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"settings\":{\"known\":{\"instances\":[{}]}},\"known\":" + LIST + ",\"more\":1}");
        assertTrue(EndpointListParser.readFile(file, "known", portions::add));
        assertEquals(List.of(ENTRIES), portions);
        assertFalse(EndpointListParser.readFile(file, "settings", portions::add));
        assertFalse(EndpointListParser.readFile(file, "more", portions::add));
        assertFalse(EndpointListParser.readFile(file, "other", portions::add));
        assertEquals(1, portions.size());
    }
}
