package kestreldeal.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.jar.JarFile;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the contents and class path of the packaged jars: the sender's jar must neither contain the scale tests nor
 * have their libraries on its class path, so that a sender can't load them.
 */
class JarsIT {
    private static final Path TARGET = Path.of("target");

    @Test
    void theSenderJarContainsNothingOfTheScaleTests() throws Exception {
        List<String> libraries = fileNames(TARGET.resolve("scale-lib"));
        assertEquals(2, libraries.size(), libraries.toString());
        assertTrue(Stream.of("picocli", "HdrHistogram")
                .allMatch(l -> libraries.stream().anyMatch(n -> n.startsWith(l))));
        try (JarFile jar = new JarFile(TARGET.resolve("kestreldeal.jar").toFile())) {
            assertTrue(jar.stream().noneMatch(entry -> entry.getName().startsWith("kestreldeal/scale")));
            assertTrue(jar.stream().anyMatch(entry -> entry.getName().equals("kestreldeal/Main.class")));
            String path = jar.getManifest().getMainAttributes().getValue("Class-Path");
            List<String> classPath = Arrays.asList(path.split(" "));
            assertTrue(classPath.stream().allMatch(name -> name.startsWith("lib/")), path);
            assertTrue(libraries.stream().noneMatch(library -> classPath.contains("lib/" + library)), path);
            assertEquals(fileNames(TARGET.resolve("lib")),
                    classPath.stream().map(n -> n.substring(4)).sorted().toList());
        }
        try (JarFile jar = new JarFile(TARGET.resolve("kestreldeal-scale.jar").toFile())) {
            assertTrue(jar.stream().filter(entry -> entry.getName().endsWith(".class"))
                    .allMatch(entry -> entry.getName().startsWith("kestreldeal/scale/")));
        }
    }

    private static List<String> fileNames(Path directory) {
        return Stream.of(directory.toFile().listFiles()).map(File::getName).sorted().toList();
    }
}
