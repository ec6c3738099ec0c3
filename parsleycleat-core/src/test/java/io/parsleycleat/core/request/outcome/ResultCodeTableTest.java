package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.process.result.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

public class ResultCodeTableTest {
    private static final Path TABLE = Path.of("..", "docs", "RESULT-CODES.md");

    @Test
    public void theTableAndTheCodeAgree() throws IOException {
        List<String> rows = Files.readAllLines(TABLE).stream()
                .filter(line -> line.matches("\\| \\d+ .*"))
                .toList();
        List<String> expected = Arrays.stream(ResultCode.values())
                .map(c -> String.format(
                        "| %d | %s | %s | %d | %s |",
                        c.number(), c.name(), c.resultClass().label(), c.httpStatus(), c.meaning()))
                .toList();
        assertEquals(rows, expected);
    }
}
