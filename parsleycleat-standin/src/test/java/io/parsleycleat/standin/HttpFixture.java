package io.parsleycleat.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.standin.http.Json;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.testng.Assert;

/** An HTTP client and the stand-ins of a test, all closed together. */
public final class HttpFixture implements AutoCloseable {
    private final EventLoopGroup loops = new NioEventLoopGroup(2);
    private final AsyncHttpClient http = HttpClients.create(loops);
    private final List<StandIn> standIns = new ArrayList<>();

    public static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    public static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(10, TimeUnit.SECONDS);
    }

    public static Throwable failureOf(CompletableFuture<?> future) throws Exception {
        return Failures.unwrap(Assert.expectThrows(Exception.class, () -> await(future)));
    }

    public AsyncHttpClient http() {
        return http;
    }

    public <S extends StandIn> S add(S standIn) {
        standIns.add(standIn);
        return standIn;
    }

    public Response get(StandIn standIn, String path) throws Exception {
        return await(http.prepareGet(standIn.uri() + path).execute().toCompletableFuture());
    }

    public JsonNode getJson(StandIn standIn, String path) throws Exception {
        return Json.parse(get(standIn, path).getResponseBody());
    }

    public Response post(StandIn standIn, String path, String body) throws Exception {
        return await(
                http.preparePost(standIn.uri() + path).setBody(body).execute().toCompletableFuture());
    }

    @Override
    public void close() throws Exception {
        http.close();
        standIns.forEach(StandIn::close);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
