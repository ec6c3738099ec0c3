package io.parsleycleat.standin.upstream;

import static io.parsleycleat.standin.HttpFixture.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.upstream.HttpPlainService;
import io.parsleycleat.core.connection.upstream.ServiceAnswer;
import io.parsleycleat.core.connection.upstream.ServiceRequest;
import io.parsleycleat.core.process.result.UpstreamException;
import io.parsleycleat.standin.HttpFixture;
import io.parsleycleat.standin.upstream.ServiceBehaviour.Failure;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PlainServiceStandInTest {
    private HttpFixture fixture;
    private PlainServiceStandIn service;
    private HttpPlainService client;

    @BeforeMethod
    public void start() {
        fixture = new HttpFixture();
        service = fixture.add(new PlainServiceStandIn(HttpFixture.freeAddress(), "", 1_000));
        client = new HttpPlainService(fixture.http(), service.uri(), Duration.ofSeconds(10));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    @Test(timeOut = 30_000)
    public void ordersAreCountedAndReadsAreNot() throws Exception {
        await(client.check());
        assertEquals(call("GET"), "200 whole");
        assertEquals(call("POST"), "200 whole");
        assertEquals(call("POST"), "200 whole");
        assertEquals(service.effects(), 2L);
        assertEquals(service.runs().all().stream().map(ServiceRun::run).toList(), List.of(0L, 1L, 2L));
        assertEquals(service.runs().all().get(1).header("idempotency-key"), "k");
        assertEquals(service.runs().all().get(1).body(), "order");
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {Failure.STATUS_BEFORE_EFFECT, "503 whole", 0L},
            {Failure.STATUS_AFTER_EFFECT, "500 whole", 1L},
            {Failure.CUT_BEFORE_EFFECT, "0 broken", 0L},
            {Failure.CUT_AFTER_EFFECT, "0 broken", 1L},
            {Failure.CUT_IN_BODY, "200 broken", 1L},
        };
    }

    @Test(dataProvider = "failures", timeOut = 30_000)
    public void failuresComeBeforeOrAfterTheEffectForSoManyRequests(Failure failure, String seen, long effects)
            throws Exception {
        fixture.post(service, "/control/behaviour", "{\"failure\":\"" + failure.label() + "\",\"times\":1}");
        assertEquals(call("POST"), seen);
        assertEquals(service.effects(), effects);
        assertEquals(call("POST"), "200 whole");
        assertEquals(service.effects(), effects + 1);
    }

    @Test(timeOut = 30_000)
    public void largeAndSlowBodiesArriveWhole() throws Exception {
        service.setBehaviour(ServiceBehaviour.NORMAL.withBody(300_000, 20));
        assertEquals(call("GET"), "200 whole");
        assertFalse(service.runs().all().get(0).hadEffect());
    }

    private String call(String method) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        client.call(
                new ServiceRequest(
                        method,
                        "/orders?x=1",
                        List.of(Map.entry("Idempotency-Key", "k")),
                        ByteString.copyFromUtf8(method.equals("GET") ? "" : "order")),
                new ServiceAnswer() {
                    private int status;

                    @Override
                    public void onHead(int newStatus, List<Map.Entry<String, String>> headers) {
                        status = newStatus;
                    }

                    @Override
                    public void onBody(byte[] part) {}

                    @Override
                    public void onEnd() {
                        result.complete(status + " whole");
                    }

                    @Override
                    public void onFailure(UpstreamException failure) {
                        result.complete(status + " broken");
                    }
                });
        return await(result);
    }
}
