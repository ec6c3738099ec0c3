package io.parsleycleat.core.process.settings;

import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.entry.EntrySettings;
import io.parsleycleat.core.process.result.ResultClass;
import io.parsleycleat.core.process.side.SideSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Damages settings with fixed seeds: each is read or refused with a numbered error that names the file. */
public class SettingsFuzzTest {
    private static final int SEEDS = 3_000;
    private static final String LETTERS = "{}[]\",:0123456789.-eEtrufalsn \\/ax\u00e9";

    @DataProvider
    public Object[][] daemons() {
        return new Object[][] {
            {"entry.json", (Function<SettingsNode, ?>) EntrySettings::read},
            {"side-engine.json", (Function<SettingsNode, ?>) SideSettings::read},
        };
    }

    @Test(dataProvider = "daemons")
    public void damagedSettingsAreRefusedWithANumber(String example, Function<SettingsNode, ?> reader)
            throws IOException {
        String whole = Files.readString(Path.of("..", "dist", "examples", "mekdes", example));
        int refused = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            try {
                SettingsFile.parse(example, damaged(whole, new Random(seed)), reader);
            } catch (SettingsException e) {
                refused++;
                assertTrue(e.code().resultClass() == ResultClass.CONFIGURATION, e.getMessage());
                assertTrue(e.location().source().equals(example), e.getMessage());
            }
        }
        assertTrue(refused > SEEDS / 2, refused + " were refused");
    }

    private static String damaged(String whole, Random random) {
        StringBuilder text = new StringBuilder(whole);
        int changes = 1 + random.nextInt(3);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(text.length());
            char letter = LETTERS.charAt(random.nextInt(LETTERS.length()));
            switch (random.nextInt(3)) {
                case 0 -> text.setCharAt(at, letter);
                case 1 -> text.insert(at, letter);
                default -> text.deleteCharAt(at);
            }
        }
        return text.toString();
    }
}
