package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards how the end of a streamed answer is told from a stream that broke off. */
public class StreamEndTest extends ForwardingFixture {
    private static final String UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String LAST_EVENT = "id: 2\ndata: b\n\n";

    @DataProvider
    public Object[][] brokenOffAnswers() {
        String body = FIRST_EVENT + "id: 2\nda";
        return new Object[][] {
            {"ends with its connection", UNFRAMED_HEAD + body},
            {"has a length", okAnswer(body)},
        };
    }

    // Guards against a stream that broke off inside an event being completed for the caller.
    @Test(dataProvider = "brokenOffAnswers")
    public void resumableStreamThatEndsInsideEventContinuesElsewhere(String what, String brokenOff) throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        AtomicInteger requests = new AtomicInteger();
        ScriptedUpstream.Script firstBreaksOff = (request, connection) -> {
            boolean first = requests.getAndIncrement() == 0;
            ScriptedUpstream.write(connection, first ? brokenOff : okAnswer(LAST_EVENT));
            return false;
        };
        try (ScriptedUpstream one = new ScriptedUpstream(firstBreaksOff);
                ScriptedUpstream two = new ScriptedUpstream(firstBreaksOff)) {
            addUpstream("a", one.address());
            addUpstream("b", two.address());
            assertEquals(sendAndAwaitAnswer(), "200 streamed id: 1;data: a;;id: 2;data: b;;", what);
        }
    }

    // Guards against the same where the stream cannot be resumed: the caller must see that it is not whole.
    @Test(dataProvider = "brokenOffAnswers")
    public void streamThatEndsInsideEventIsCutIfItCannotBeResumed(String what, String brokenOff) throws Exception {
        configure(RequestKind.STREAM, false, 2, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(brokenOff, false))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "cut after id: 1;data: a;;id: 2;da", what);
        }
    }

    @DataProvider
    public Object[][] wholeAnswers() {
        return new Object[][] {
            {UNFRAMED_HEAD + FIRST_EVENT, "200 streamed id: 1;data: a;;"},
            {UNFRAMED_HEAD + "id: 1\r\ndata: a\r\n\r\n", "200 streamed id: 1\r;data: a\r;\r;"},
            {UNFRAMED_HEAD, "200 streamed "},
            {okAnswer("no event"), "200 streamed no event"},
        };
    }

    @Test(dataProvider = "wholeAnswers")
    public void streamThatEndsAfterWholeEventIsComplete(String answer, String expected) throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(answer, false))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), expected);
        }
    }
}
