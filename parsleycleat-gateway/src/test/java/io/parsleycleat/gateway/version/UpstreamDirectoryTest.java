package io.parsleycleat.gateway.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectoryUpdater;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class UpstreamDirectoryTest {
    private ManualTimeSource time;
    private UpstreamDirectory directory;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        directory = new UpstreamDirectory(time);
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

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private UpstreamDirectoryUpdater updater() {
        return new UpstreamDirectoryUpdater(
                (id, value) -> new String(value, StandardCharsets.UTF_8).equals("odd")
                        ? Optional.empty()
                        : Optional.of(upstream(id, 1, 5, false)),
                directory);
    }

    /** Guards against an entry with the address of a sound engine that hides it by a start that lies in the future. */
    @Test
    public void startInTheFutureDoesNotHideTheUpstreamAtItsAddress() {
        directory.put(upstream("sound", 1, time.wallMillis() - 1_000, false));
        directory.put(upstream("odd", 1, time.wallMillis() + Duration.ofDays(30).toMillis(), false));
        assertEquals(usable(), List.of("sound"));
    }

    /** Guards against an entry under the id of a sound engine that ends its use, or later descriptions of it. */
    @Test
    public void startInTheFutureUnderTheSameIdChangesNothing() {
        List<String> changes = new ArrayList<>();
        Upstream sound = upstream("a", 1, time.wallMillis() - 1_000, false);
        directory.put(sound);
        directory.addListener((before, after) -> changes.add(before + " to " + after));
        directory.put(upstream("a", 2, time.wallMillis() + Duration.ofDays(30).toMillis(), false));
        assertEquals(directory.find("a").orElseThrow(), sound);
        assertEquals(changes, List.of());
        directory.put(upstream("a", 1, time.wallMillis(), false));
        assertEquals(directory.find("a").orElseThrow().startMillis(), time.wallMillis());
    }

    /** Guards against upstreams that are lost because the own clock is far behind theirs. */
    @Test
    public void startsAreComparedAsUsualWhenTheOwnClockIsFarBehind() {
        time.shiftWallMillis(-Duration.ofDays(3_000).toMillis());
        long now = time.wallMillis() + Duration.ofDays(3_000).toMillis();
        directory.put(upstream("old", 1, now - 2_000, false));
        directory.put(upstream("new", 1, now - 1_000, false));
        directory.put(upstream("b", 2, now - 2_000, false));
        directory.put(upstream("b", 2, now - 3_000, true));
        assertEquals(usable(), List.of("b", "new"));
    }

    /** Guards against new requests to an upstream whose entry was overwritten, and against cutting the running ones. */
    @Test
    public void upstreamIsKnownButNotUsedWhileItsNewestDescriptionCannotBeDecoded() {
        List<String> changes = new ArrayList<>();
        UpstreamDirectoryUpdater updater = updater();
        updater.onPut("a", bytes("sound"));
        directory.addListener((before, after) -> changes.add(before + " to " + after));
        ParsleycleatException fault = expectThrows(ParsleycleatException.class, () -> updater.onPut("a", bytes("odd")));
        assertEquals(fault.code(), ResultCode.PLATFORM_ANSWER_MALFORMED);
        assertEquals(usable(), List.of());
        assertTrue(directory.find("a").isPresent());
        assertEquals(changes, List.of());
        updater.onPut("a", bytes("sound"));
        assertEquals(usable(), List.of("a"));
        expectThrows(ParsleycleatException.class, () -> updater.onPut("a", bytes("odd")));
        updater.onDelete("a", false);
        assertEquals(directory.all(), List.of());
        assertEquals(changes.size(), 1, changes.toString());
    }

    /** Guards against a listener that fails and keeps the change from the others. */
    @Test
    public void listenerThatFailsKeepsNoChangeFromTheOthers() {
        List<String> told = new ArrayList<>();
        directory.addListener((before, after) -> {
            throw new IllegalStateException("a listener that fails");
        });
        directory.addListener((before, after) -> told.add(String.valueOf(after == null ? null : after.id())));
        directory.put(upstream("a", 1, 1, false));
        directory.remove("a");
        assertEquals(told, List.of("a", "null"));
    }
}
