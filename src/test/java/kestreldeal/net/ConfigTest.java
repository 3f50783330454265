package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import kestreldeal.InvalidInputException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings that a deployment may leave out, and the errors for invalid values. */
class ConfigTest {
    private static final String VALID = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
             "limits":{"sockets":256,"disk_mb":3},
             "settings":{"classes":[{"name":"order","aim_ms":2000,"give_up_ms":24000,"repeat":"safe"}],
              "flavors":["large","small"],"zones":["a"],
              "family_info":{"workers":10,"batch_by_kind":[5,1]},
              "fleet_size":3,"limits":{"most_tries":12,"max_open":30},
              "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}
            """;

    @TempDir
    private Path folder;

    private Config read(String json) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, json);
        return Config.read(Map.of("GW_CONFIG", file.toString(), "GW_STATE", folder.toString()));
    }

    @Test
    void kindsMayHaveNoBatchSize() throws Exception {
        assertEquals(List.of(5, 1), read(VALID).settings().kinds().stream().map(k -> k.maxBatchSize()).toList());
        Config namesOnly = read(VALID.replace(",\"batch_by_kind\":[5,1]", ""));
        assertEquals(List.of(1, 1), namesOnly.settings().kinds().stream().map(k -> k.maxBatchSize()).toList());
    }

    @Test
    void errorOfAnInvalidValueNamesItsSettingInOneLine() {
        Map<String, String> invalidByValid = Map.of("\"workers\":10", "\"workers\":0",
                "\"fleet_size\":3", "\"fleet_size\":\"many\"",
                "\"most_tries\":12", "\"most_tries\":\"NaN\"", "\"max_open\":30", "\"max_open\":-1",
                "\"aim_ms\":2000", "\"aim_ms\":-5", "\"sockets\":256", "\"sockets\":\"few\"",
                "\"disk_mb\":3", "\"disk_mb\":[1,2]", "\"batch_by_kind\":[5,1]", "\"batch_by_kind\":[5,\"x\"]");
        invalidByValid.forEach((valid, invalid) -> {
            String name = valid.split("\"")[1];
            InvalidInputException error =
                    assertThrows(InvalidInputException.class, () -> read(VALID.replace(valid, invalid)), invalid);
            assertEquals(List.of(name), List.of(error.getMessage().replaceAll(".*\\b(" + name + ")\\b.*", "$1")));
        });
    }

    @Test
    void errorOfInvalidJsonHasOneLine() {
        InvalidInputException error = assertThrows(InvalidInputException.class, () -> read("{\"name\":"));
        assertEquals(1, error.getMessage().lines().count());
    }
}
