package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class IdempotencyKeyTest {
    private static final long NOW = 1_700_000_000_000L;
    private static final Duration WINDOW = Duration.ofHours(1);
    private static final Duration TOLERANCE = Duration.ofSeconds(30);

    static String keyAt(long millis, int n) {
        return String.format("%08x-%04x-7000-8000-%012x", millis >>> 16, millis & 0xffff, n);
    }

    @DataProvider
    public Object[][] keys() {
        long oldest = NOW - WINDOW.toMillis();
        long newest = NOW + TOLERANCE.toMillis();
        return new Object[][] {
            {null, ResultCode.IDEMPOTENCY_KEY_MISSING},
            {"  ", ResultCode.IDEMPOTENCY_KEY_MISSING},
            {"order-17", ResultCode.IDEMPOTENCY_KEY_MALFORMED},
            {"018bcfe5-6800-4000-8000-000000000001", ResultCode.IDEMPOTENCY_KEY_MALFORMED},
            {"018bcfe5-6800-7000-c000-000000000001", ResultCode.IDEMPOTENCY_KEY_MALFORMED},
            {keyAt(oldest - 1, 1), ResultCode.IDEMPOTENCY_KEY_EXPIRED},
            {keyAt(oldest, 1), ResultCode.DONE},
            {keyAt(NOW, 1).toUpperCase(java.util.Locale.ROOT), ResultCode.DONE},
            {keyAt(newest, 1), ResultCode.DONE},
            {keyAt(newest + 1, 1), ResultCode.IDEMPOTENCY_KEY_FUTURE},
        };
    }

    @Test(dataProvider = "keys")
    public void acceptsOnlyKeysOfTheWindow(String text, ResultCode expected) {
        ResultCode code = IdempotencyKey.check(text, NOW, WINDOW, TOLERANCE)
                .map(key -> ResultCode.DONE)
                .getOrElseGet(Refusal::code);
        assertEquals(code, expected);
    }

    @Test
    public void readsTheTime() {
        long time = IdempotencyKey.check(keyAt(NOW, 9), NOW, WINDOW, TOLERANCE)
                .get()
                .timeMillis();
        assertEquals(time, NOW);
    }
}
