package io.parsleycleat.core.request.serve;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerRequest;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class KeySecrecyTest {
    private static final String KEY = "pk-0123-secret";
    private static final Map.Entry<String, String> AUTHORIZATION = Map.entry("Authorization", "Bearer " + KEY);

    @DataProvider
    public Object[][] leaks() {
        return new Object[][] {
            {request("/a?key=" + KEY, "x-a", "b", "")},
            {request("/a/" + KEY, "x-a", "b", "")},
            {request("/a?key=pk%2D0123%2dsecret", "x-a", "b", "")},
            {request("/a", "x-api-key", KEY, "")},
            {request("/a", "x-a", "b", "{\"prompt\":\"my key is " + KEY + "\"}")},
        };
    }

    @Test(dataProvider = "leaks")
    public void keyOutsideOfItsHeaderIsRefused(CallerRequest request) {
        assertEquals(KeyLeakCheck.check(request, KEY).isPresent(), true, request.uri());
    }

    @Test
    public void keyInItsHeaderOnlyIsAllowed() {
        CallerRequest request = request("/a?b=%zz", "x-a", "b", "{}");
        assertEquals(KeyLeakCheck.check(request, KEY).isPresent(), false);
    }

    @Test
    public void onlyEndToEndHeadersWithoutCredentialsReachAnUpstream() {
        List<Map.Entry<String, String>> sent = HeaderRules.toUpstream(List.of(
                AUTHORIZATION,
                Map.entry("Proxy-Authorization", "x"),
                Map.entry("Connection", "keep-alive, X-Hop"),
                Map.entry("X-Hop", "1"),
                Map.entry("Transfer-Encoding", "chunked"),
                Map.entry("Host", "a"),
                Map.entry("Accept", "text/plain"),
                Map.entry("Idempotency-Key", "k")));
        assertEquals(sent.stream().map(Map.Entry::getKey).toList(), List.of("Accept", "Idempotency-Key"));
    }

    private static CallerRequest request(String uri, String header, String value, String body) {
        return new CallerRequest(
                "POST", uri, List.of(AUTHORIZATION, Map.entry(header, value)), ByteString.copyFromUtf8(body));
    }
}
