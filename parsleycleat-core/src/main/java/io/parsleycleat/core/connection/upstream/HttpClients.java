package io.parsleycleat.core.connection.upstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.parsleycleat.core.connection.http.ClientCodec;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.netty.channel.ChannelManager;

/** Makes the HTTP client of a process. Stateless. */
public final class HttpClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration IDLE_CONNECTION_TTL = Duration.ofSeconds(30);

    private HttpClients() {}

    /**
     * Returns a client that never repeats a request by itself, follows no redirect and keeps no cookies.
     *
     * @param loops the process's event loops, which the caller shuts down
     */
    public static AsyncHttpClient create(EventLoopGroup loops) {
        DefaultAsyncHttpClientConfig.Builder config = Dsl.config()
                .setEventLoopGroup(loops)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setCookieStore(null)
                .setHttpAdditionalChannelInitializer(HttpClients::decodeStrictly)
                .setSslEngineFactory(new LazySslEngineFactory())
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setPooledConnectionIdleTimeout(IDLE_CONNECTION_TTL)
                .setUserAgent("parsleycleat");
        return Dsl.asyncHttpClient(config);
    }

    /** Replaces the client's codec, which takes more for a response than a server may send. */
    private static void decodeStrictly(Channel connection) {
        connection
                .pipeline()
                .replace(ChannelManager.HTTP_CLIENT_CODEC, ChannelManager.HTTP_CLIENT_CODEC, new ClientCodec());
    }
}
