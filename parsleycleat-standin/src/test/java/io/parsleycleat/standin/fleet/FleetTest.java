package io.parsleycleat.standin.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.platform.HttpVmList;
import io.parsleycleat.standin.HttpFixture;
import io.parsleycleat.standin.StandInMain;
import io.parsleycleat.standin.http.Json;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FleetTest {
    private static final Duration SOON = Duration.ofSeconds(20);

    private Fleet fleet;

    @BeforeMethod
    public void start() {
        fleet = Fleet.create();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @Test(timeOut = 60_000)
    public void standInsRunAsProcessesAndAreSteeredOverHttp() throws Exception {
        fleet.startPlatform();
        StandInNode engine = fleet.startEngine("engine-1", "--slots", "3");
        assertEquals(
                fleet.http()
                        .get(engine.uri().resolve("/v1/state"))
                        .path("slots")
                        .asInt(),
                3);
        fleet.log().order("faults", Json.object().put("mode", "refuse"));
        assertThrows(CompletionException.class, () -> fleet.http()
                .get(fleet.log().uri().resolve("/streams/s/records")));
        assertEquals(fleet.log().read("streams").size(), 0);
        assertTrue(HttpFixture.await(
                        new HttpVmList(fleet.http().client(), fleet.vmList().uri()).read())
                .isEmpty());
    }

    @Test(timeOut = 60_000)
    public void frozenProcessAnswersOnlyOnceItIsThawed() throws Exception {
        StandInNode service = fleet.startService("orders-1");
        service.process().freeze();
        CompletableFuture<Void> health = fleet.http().awaitOk(service.uri().resolve("/health"), Duration.ofMillis(300));
        assertTrue(HttpFixture.failureOf(health) instanceof TimeoutException);
        assertTrue(service.process().isAlive());
        service.process().thaw();
        HttpFixture.await(fleet.http().awaitOk(service.uri().resolve("/health"), SOON));
    }

    @Test(timeOut = 60_000)
    public void processesEndBySignalAndWithTheFleet() {
        StandInNode first = fleet.startService("orders-1");
        StandInNode second = fleet.startService("orders-2");
        StandInNode third = fleet.startService("orders-3");
        first.process().terminate();
        second.process().kill();
        assertEquals((int) first.process().awaitExit(SOON).orElseThrow(), 143);
        assertEquals((int) second.process().awaitExit(SOON).orElseThrow(), 137);
        third.process().freeze();
        Fleet other = Fleet.create();
        other.close();
        assertTrue(third.process().isAlive());
        fleet.close();
        assertFalse(third.process().isAlive());
        assertFalse(Files.exists(fleet.directory()));
        fleet = Fleet.create();
    }

    @Test(timeOut = 60_000)
    public void processThatCannotStartIsReportedWithItsErrors() {
        FleetProcess broken = FleetProcess.start(
                "broken",
                fleet.directory(),
                List.of("-Xmx64m"),
                StandInMain.class.getName(),
                List.of("log", "--no-such-option"));
        FleetException failure =
                org.testng.Assert.expectThrows(FleetException.class, () -> broken.awaitListening(SOON));
        assertTrue(failure.getMessage().contains("--no-such-option"), failure.getMessage());
    }
}
