package io.parsleycleat.gateway.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class UpstreamDirectoryTest {
    private UpstreamDirectory directory;

    @BeforeMethod
    public void setUp() {
        directory = new UpstreamDirectory();
    }

    private static Upstream upstream(String id, int port, long startMillis, boolean leaving) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        return new Upstream(id, "lm", address, "bole", startMillis, leaving, 8, Map.of());
    }

    private List<String> usable() {
        return directory.usable("lm").stream().map(Upstream::id).sorted().toList();
    }

    @Test
    public void leavingAndRemovedUpstreamsAreNotUsable() {
        directory.put(upstream("a", 1, 1, false));
        directory.put(upstream("b", 2, 1, true));
        directory.put(upstream("c", 3, 1, false));
        directory.remove("c");
        assertEquals(usable(), List.of("a"));
        assertTrue(directory.usable("other").isEmpty());
    }

    @Test
    public void laterStartAtTheSameAddressReplacesTheEarlierOne() {
        directory.put(upstream("old", 1, 1, false));
        directory.put(upstream("new", 1, 2, false));
        assertEquals(usable(), List.of("new"));
    }

    /** A store that was restored from an older copy returns earlier descriptions. */
    @Test
    public void olderDescriptionNeitherEndsLeavingNorRestoresAnEarlierStart() {
        directory.put(upstream("a", 1, 1, true));
        directory.put(upstream("a", 1, 1, false));
        directory.put(upstream("b", 2, 5, false));
        directory.put(upstream("b", 2, 4, true));
        assertEquals(usable(), List.of("b"));
        directory.put(upstream("a", 1, 2, false));
        assertEquals(usable(), List.of("a", "b"));
    }

    @Test
    public void expiredUpstreamIsUsableUntilTheGraceTimeIsOver() {
        directory.put(upstream("a", 1, 1, false));
        directory.put(upstream("b", 2, 1, false));
        directory.markExpired("a");
        directory.markExpired("b");
        assertEquals(usable(), List.of("a", "b"));
        directory.put(upstream("b", 2, 1, false));
        directory.removeExpired();
        assertEquals(usable(), List.of("b"));
    }
}
