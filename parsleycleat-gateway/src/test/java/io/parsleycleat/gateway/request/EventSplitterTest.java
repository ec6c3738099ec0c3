package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.gateway.request.events.EventSplitter;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the splitting of event streams at arbitrary byte boundaries, on which resuming a stream depends. */
public class EventSplitterTest {
    private EventSplitter splitter;

    private String append(String part) {
        return splitter.append(ByteString.copyFromUtf8(part)).toStringUtf8();
    }

    @BeforeMethod
    public void setUp() {
        splitter = new EventSplitter();
    }

    @Test
    public void onlyWholeEventsAreReturned() {
        assertEquals(append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assertEquals(append("ta: b\n"), "");
        assertEquals(append("\nid: 3"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void lastEventIdIsThatOfLastWholeEvent() {
        assertEquals(splitter.lastEventId(), OptionalLong.empty());
        append("id: 7\ndata: a\n\nid: 8\ndata: b");
        assertEquals(splitter.lastEventId(), OptionalLong.of(7));
    }

    @Test
    public void partialEventIsDrained() {
        append("id: 1\ndata: a\n\nid: 2\nda");
        assertEquals(splitter.drainPartialEvent().toStringUtf8(), "id: 2\nda");
        assertEquals(append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void nonNumericIdsAreIgnored() {
        append("id: x\ndata: a\n\nid: 99999999999999999999\ndata: b\n\n");
        assertEquals(splitter.lastEventId(), OptionalLong.empty());
    }

    @Test
    public void emptyLineSplitAcrossPartsEndsEvent() {
        assertEquals(append("id: 1\n"), "");
        assertEquals(append("\n"), "id: 1\n\n");
        assertEquals(splitter.lastEventId(), OptionalLong.of(1));
    }

    @Test
    public void carriageReturnsBelongToLineBreaks() {
        assertEquals(append("id: 1\r\ndata: a\r\n\r"), "");
        assertEquals(append("\nid: 2\r\n"), "id: 1\r\ndata: a\r\n\r\n");
        assertEquals(splitter.lastEventId(), OptionalLong.of(1));
        assertEquals(append("\r\n"), "id: 2\r\n\r\n");
        assertEquals(splitter.lastEventId(), OptionalLong.of(2));
    }

    @Test
    public void onlyPartOfAnEventCountsAsInsideOne() {
        assertFalse(splitter.isInsideEvent());
        append("id: 1\ndata: a\n\n\n");
        assertFalse(splitter.isInsideEvent());
        append("id: 2\n");
        assertTrue(splitter.isInsideEvent());
    }

    @Test
    public void endlessEventIsReportedAsTooLong() {
        String part = "x".repeat(10_000);
        int parts = 0;
        while (!splitter.isEventTooLong()) {
            assertEquals(append(part), "");
            parts++;
        }
        assertEquals(parts, EventSplitter.MAX_EVENT_BYTES / part.length() + 1);
    }
}
