package io.parsleycleat.core.process.entry;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.process.settings.SettingDescription;
import io.parsleycleat.core.process.settings.SettingsFile;
import io.parsleycleat.core.process.settings.SettingsNode;
import io.parsleycleat.core.process.side.SideSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SettingsDocumentTest {
    private static final Path ROOT = Path.of("..");
    private static final Path EXAMPLES = ROOT.resolve("dist/examples");

    @DataProvider
    public Object[][] daemons() {
        return new Object[][] {
            {"parsleycleat-entry", "mekdes/entry.json", (Function<SettingsNode, ?>) EntrySettings::read},
            {"parsleycleat-side", "mekdes/side-engine.json", (Function<SettingsNode, ?>) SideSettings::read},
        };
    }

    @DataProvider
    public Object[][] examples() {
        return new Object[][] {
            {"mekdes/entry.json", (Function<SettingsNode, ?>) EntrySettings::read},
            {"mekdes/side-engine.json", (Function<SettingsNode, ?>) SideSettings::read},
            {"mekdes/side-orders.json", (Function<SettingsNode, ?>) SideSettings::read},
            {"schieferpfad/entry.json", (Function<SettingsNode, ?>) EntrySettings::read},
            {"schieferpfad/side-engine.json", (Function<SettingsNode, ?>) SideSettings::read},
            {"schieferpfad/side-bookings.json", (Function<SettingsNode, ?>) SideSettings::read},
        };
    }

    @Test(dataProvider = "daemons")
    public void everyFieldIsDocumented(String daemon, String example, Function<SettingsNode, ?> reader)
            throws IOException {
        String described = SettingsFile.describe(Files.readString(EXAMPLES.resolve(example)), reader).stream()
                .map(SettingsDocumentTest::row)
                .collect(Collectors.joining("\n"));
        assertEquals(documented(daemon), described, "the rows below the heading of " + daemon);
    }

    @Test(dataProvider = "examples")
    public void exampleIsValid(String example, Function<SettingsNode, ?> reader) {
        SettingsFile.read(EXAMPLES.resolve(example), reader);
    }

    private static String row(SettingDescription field) {
        return "| `" + field.path() + "` | " + field.allowed() + " | `" + field.defaultValue() + "` |";
    }

    /** Returns the first three cells of the rows below a heading. */
    private static String documented(String daemon) throws IOException {
        List<String> lines = Files.readAllLines(ROOT.resolve("docs/SETTINGS.md"));
        int start = lines.indexOf("## " + daemon);
        return lines.stream()
                .skip(start + 1L)
                .takeWhile(line -> !line.startsWith("## "))
                .filter(line -> line.startsWith("| `"))
                .map(line -> line.substring(0, endOfThirdCell(line)))
                .collect(Collectors.joining("\n"));
    }

    private static int endOfThirdCell(String line) {
        int end = 0;
        for (int cell = 0; cell < 3; cell++) {
            end = line.indexOf(" |", end + 2);
        }
        return end + 2;
    }
}
