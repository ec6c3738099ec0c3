package io.parsleycleat.core.connection.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.core.connection.caller.CallerServer;
import io.parsleycleat.core.connection.caller.CallerService;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class HttpVmListTest {
    private static final String BODY = "{\"vms\":[{\"name\":\"a\",\"role\":\"entry\",\"peerAddress\":\"127.0.0.1:1\"},"
            + "{\"name\":\"b\",\"role\":\"unheard-of\"}]}";

    private final List<String> tagsAsked = Collections.synchronizedList(new ArrayList<>());
    private EventLoopGroup loops;
    private AsyncHttpClient http;
    private CallerServer server;

    @BeforeMethod
    public void open() {
        loops = new NioEventLoopGroup(2);
        http = HttpClients.create(loops);
        tagsAsked.clear();
    }

    @AfterMethod
    public void close() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void unchangedListIsNotSentAgain() throws Exception {
        VmList list = serve((request, exchange) -> {
            String tag = request.header("if-none-match").orElse("");
            tagsAsked.add(tag);
            if (tag.equals("\"1\"")) {
                exchange.respond(304, List.of(), ByteString.EMPTY);
            } else {
                exchange.respond(200, List.of(Map.entry("etag", "\"1\"")), ByteString.copyFromUtf8(BODY));
            }
        });
        List<Vm> first = list.read().get(20, TimeUnit.SECONDS);
        List<Vm> second = list.read().get(20, TimeUnit.SECONDS);
        assertEquals(first.stream().map(Vm::name).toList(), List.of("a"));
        assertSame(second, first);
        assertEquals(tagsAsked, List.of("", "\"1\""));
    }

    @Test
    public void answerOfAnotherFormIsRefused() {
        VmList list =
                serve((request, exchange) -> exchange.respond(200, List.of(), ByteString.copyFromUtf8("{\"vms\":1}")));
        ExecutionException e =
                expectThrows(ExecutionException.class, () -> list.read().get(20, TimeUnit.SECONDS));
        PlatformException failure = (PlatformException) Failures.unwrap(e);
        assertEquals(failure.code(), ResultCode.PLATFORM_ANSWER_MALFORMED);
    }

    private VmList serve(CallerService service) {
        server = new CallerServer(loops, CallerLimits.DEFAULT, service);
        InetSocketAddress address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return new HttpVmList(http, URI.create("http://127.0.0.1:" + address.getPort()));
    }
}
