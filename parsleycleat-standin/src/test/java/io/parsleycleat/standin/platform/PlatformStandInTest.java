package io.parsleycleat.standin.platform;

import static io.parsleycleat.standin.HttpFixture.await;
import static io.parsleycleat.standin.HttpFixture.failureOf;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.platform.HttpVmList;
import io.parsleycleat.core.connection.platform.HttpWeightStore;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.standin.HttpFixture;
import io.parsleycleat.standin.ManualTime;
import io.parsleycleat.standin.http.FaultMode;
import io.parsleycleat.standin.http.Faults;
import io.parsleycleat.standin.platform.WeightStoreStandIn.Load;
import io.parsleycleat.standin.platform.WeightStoreStandIn.LoadResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlatformStandInTest {
    private final ManualTime time = new ManualTime();
    private HttpFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new HttpFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    @Test(timeOut = 30_000)
    public void vmListShowsChangesAfterItsLag() throws Exception {
        VmListStandIn list = fixture.add(new VmListStandIn(HttpFixture.freeAddress(), 5_000, time));
        HttpVmList client = new HttpVmList(fixture.http(), list.uri());
        Vm vm = new Vm("side-1", ProcessRole.SIDE, "127.0.0.1:9000", "dc-1", "region-1", "engine-1", false);
        list.put(vm);
        time.advance(Duration.ofMillis(4_999));
        assertEquals(await(client.read()), List.of());
        time.advance(Duration.ofMillis(1));
        assertEquals(await(client.read()), List.of(vm));
        fixture.post(
                list,
                "/control/vms/entry-1",
                "{\"role\":\"entry\",\"peerAddress\":\"127.0.0.1:9001\",\"leaving\":true}");
        list.remove("side-1");
        assertEquals(await(client.read()), List.of(vm));
        time.advance(Duration.ofSeconds(5));
        assertEquals(await(client.read()).stream().map(Vm::name).toList(), List.of("entry-1"));
        assertTrue(await(client.read()).get(0).leaving());
        list.setFaults(Faults.of(FaultMode.REFUSE));
        failureOf(client.read());
    }

    @Test(timeOut = 30_000)
    public void weightStoreRefusesLoadsBeyondItsRateAndFailsOnOrder() throws Exception {
        WeightStoreOptions options =
                WeightStoreOptions.DEFAULT.withLoadsPerSecond(2).withTransitTime(Duration.ZERO);
        WeightStoreStandIn store = fixture.add(new WeightStoreStandIn(HttpFixture.freeAddress(), options, time));
        assertEquals(
                await(new HttpWeightStore(fixture.http(), store.uri()).limits()).loadsPerSecond(), 2.0);
        assertEquals(fixture.get(store, "/weights/a@1").getStatusCode(), 200);
        assertEquals(fixture.get(store, "/weights/b@1").getStatusCode(), 200);
        assertEquals(fixture.get(store, "/weights/c@1").getStatusCode(), 429);
        time.advance(Duration.ofSeconds(10));
        store.failNext(1);
        assertEquals(fixture.get(store, "/weights/d@1").getStatusCode(), 500);
        assertEquals(fixture.get(store, "/weights/e@1").getStatusCode(), 200);
        store.failAdapters(Set.of("a@1"));
        time.advance(Duration.ofSeconds(10));
        assertEquals(fixture.get(store, "/weights/a@1").getStatusCode(), 500);
        assertEquals(
                store.loads().all().stream().map(Load::result).toList(),
                List.of(
                        LoadResult.STARTED,
                        LoadResult.STARTED,
                        LoadResult.LIMITED,
                        LoadResult.FAILED,
                        LoadResult.STARTED,
                        LoadResult.FAILED));
    }

    @Test
    public void transitsShareTheBandwidthBeyondTheFullSpeedNumber() {
        TransitModel model = new TransitModel(8, 0);
        List<Integer> done = new ArrayList<>();
        IntStream.range(0, 8).forEach(i -> model.start(0, 250_000, () -> done.add(i)));
        assertEquals(model.nextNanos(), 250_000L);
        IntStream.range(8, 16).forEach(i -> model.start(0, 250_000, () -> done.add(i)));
        assertEquals(model.nextNanos(), 500_000L);
        model.finish(499_000).forEach(Runnable::run);
        assertEquals(done, List.of());
        model.finish(500_000).forEach(Runnable::run);
        assertEquals(done.size(), 16);
        assertEquals(model.count(), 0);
    }
}
