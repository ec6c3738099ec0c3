package io.parsleycleat.core.process.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.parsleycleat.core.process.result.ResultCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SettingsFileTest {
    private record Sample(String name, int size, String address) {
        static Sample read(SettingsNode node) {
            return new Sample(
                    node.text("name"),
                    node.integer("size", 5, 1, 10),
                    IpAddresses.format(node.object("listen").address("callers")));
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"{", ResultCode.SETTINGS_UNREADABLE, "line 1"},
            {"[]", ResultCode.SETTINGS_TYPE_WRONG, "sample"},
            {"{\"name\":\"a\",\"name\":\"b\"}", ResultCode.SETTINGS_UNREADABLE, "Duplicate field"},
            {"{}", ResultCode.SETTINGS_FIELD_MISSING, "at name"},
            {"{\"name\":7}", ResultCode.SETTINGS_TYPE_WRONG, "at name"},
            {
                "{\"name\":\"a\",\"size\":11}",
                ResultCode.SETTINGS_OUT_OF_RANGE,
                "value 11, allowed: a whole number from 1"
            },
            {"{\"name\":\"a\",\"size\":1.5}", ResultCode.SETTINGS_TYPE_WRONG, "at size"},
            {
                "{\"name\":\"a\",\"listen\":{\"callers\":\"localhost:1\"}}",
                ResultCode.SETTINGS_NOT_AN_ADDRESS,
                "listen.callers"
            },
            {
                "{\"name\":\"a\",\"listen\":{\"callers\":\"127.0.0.1:1\"},\"x\":1}",
                ResultCode.SETTINGS_FIELD_UNKNOWN,
                "at x"
            },
        };
    }

    @Test(dataProvider = "faults")
    public void namesTheFault(String json, ResultCode code, String part) {
        SettingsException e =
                expectThrows(SettingsException.class, () -> SettingsFile.parse("sample", json, Sample::read));
        assertEquals(e.code(), code);
        assertEquals(String.valueOf(e.getMessage()).contains(part), true, e.getMessage());
    }

    @Test
    public void readsAddressesOfBothFamilies() {
        String json = "{\"name\":\"a\",\"listen\":{\"callers\":\"[::1]:80\"}}";
        assertEquals(SettingsFile.parse("sample", json, Sample::read), new Sample("a", 5, "[::1]:80"));
    }
}
