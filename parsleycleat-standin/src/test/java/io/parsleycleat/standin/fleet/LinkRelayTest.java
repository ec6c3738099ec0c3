package io.parsleycleat.standin.fleet;

import static io.parsleycleat.standin.HttpFixture.await;
import static io.parsleycleat.standin.HttpFixture.failureOf;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.standin.HttpFixture;
import io.parsleycleat.standin.upstream.PlainServiceStandIn;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.Response;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LinkRelayTest {
    private HttpFixture fixture;
    private PlainServiceStandIn service;
    private LinkRelay relay;

    @BeforeMethod
    public void start() {
        fixture = new HttpFixture();
        service = fixture.add(new PlainServiceStandIn(HttpFixture.freeAddress(), "", 100));
        relay = new LinkRelay(HttpFixture.freeAddress(), service.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        relay.close();
        fixture.close();
    }

    @Test(timeOut = 30_000)
    public void cutLinkClosesConnectionsUntilItHeals() throws Exception {
        assertEquals(await(post(Duration.ofSeconds(10))).getStatusCode(), 200);
        relay.cut();
        failureOf(post(Duration.ofSeconds(10)));
        assertEquals(service.effects(), 1L);
        relay.heal();
        assertEquals(await(post(Duration.ofSeconds(10))).getStatusCode(), 200);
        assertTrue(relay.bytes() > 0);
    }

    @Test(timeOut = 30_000)
    public void heldRequestHasNoEffectUntilTheLinkHeals() throws Exception {
        relay.holdForward();
        CompletableFuture<Response> call = post(Duration.ofSeconds(20));
        failureOf(post(Duration.ofMillis(200)));
        assertEquals(service.effects(), 0L);
        relay.heal();
        assertEquals(await(call).getStatusCode(), 200);
    }

    @Test(timeOut = 30_000)
    public void heldAnswerComesLateAfterTheEffect() throws Exception {
        relay.holdBackward();
        CompletableFuture<Response> call = post(Duration.ofSeconds(20));
        while (service.effects() == 0) {
            Thread.onSpinWait();
        }
        assertTrue(!call.isDone());
        relay.heal();
        assertEquals(await(call).getStatusCode(), 200);
    }

    private CompletableFuture<Response> post(Duration timeout) {
        return fixture.http()
                .preparePost("http://127.0.0.1:" + relay.address().getPort() + "/orders")
                .setRequestTimeout(timeout)
                .execute()
                .toCompletableFuture();
    }
}
