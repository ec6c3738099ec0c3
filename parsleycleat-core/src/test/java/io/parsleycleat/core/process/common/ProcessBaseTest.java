package io.parsleycleat.core.process.common;

import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.platform.WeightStoreLimits;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.version.configuration.keys.CutOffPolicy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ProcessBaseTest {
    private static final long WAIT_SECONDS = 20;
    private static final URI NOWHERE = URI.create("http://127.0.0.1:1");

    private ProcessBase base;

    @BeforeMethod
    public void create() {
        base = new ProcessBase(
                new VmSettings("vm-1", "dc-1", "r-1"),
                ProcessRole.SIDE,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new PlatformSettings(
                        NOWHERE,
                        NOWHERE,
                        NOWHERE,
                        Duration.ofSeconds(1),
                        Duration.ofDays(1),
                        new WeightStoreLimits(1, 1, 0)),
                new ControlSettings(Duration.ofSeconds(10), CutOffPolicy.values()[0], Duration.ZERO, Duration.ZERO));
    }

    @AfterMethod
    public void close() {
        base.close();
    }

    /** Guards against deadlines that nobody keeps any more since the task that looks for them threw once. */
    @Test
    public void repeatedTaskGoesOnAfterItThrew() throws InterruptedException {
        CountDownLatch calls = new CountDownLatch(2);
        base.scheduler()
                .scheduleWithFixedDelay(
                        () -> {
                            calls.countDown();
                            throw new IllegalStateException("a fault of the test");
                        },
                        0,
                        1,
                        TimeUnit.MILLISECONDS);
        assertTrue(calls.await(WAIT_SECONDS, TimeUnit.SECONDS), "the task was called once only");
    }
}
