package io.parsleycleat.gateway.connection.upstream;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.parsleycleat.core.connection.body.PartBuffer;
import io.parsleycleat.core.connection.http.ResponseDecoder;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.logging.LogText;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP/1.1 connection to an upstream. It carries one request at a time and is reused only if the previous response
 * was complete and came after its whole request was written, no bytes followed it, for which the decoder closes the
 * connection, and the upstream keeps the connection open.
 *
 * <p>The parts of a body that are read together are passed on as one. A connection on which very many parts arrive at
 * once reads in turns with others of its kind.
 *
 * <p>Created by {@link UpstreamConnectionPool}; its state is used on its event loop only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String KEEP_ALIVE = "keep-alive";
    private static final String TIMEOUT = "timeout=";
    private static final long IDLE_MARGIN_MILLIS = 300;
    /** Bytes of a body that are passed on before the end of a read, so that no long copy waits for it. */
    private static final int MAX_GATHERED_BYTES = 64 * 1024;
    /** More parts than a sound upstream sends between two reads; to decode them takes milliseconds. */
    private static final int MAX_PARTS_IN_TURN = 1_024;

    private final UpstreamChannel channel;
    private final ResponseDecoder decoder;
    private final ReadTurns turns;
    private final BiConsumer<UpstreamConnection, Boolean> onRelease;
    private final PartBuffer gathered = new PartBuffer();
    private @Nullable ResponseListener listener;
    private String requestId = "";
    private int requestCount;

    private int partsInTurn;
    private boolean awaitsTurn;
    private boolean hasAwaitedTurn;
    private boolean readingWanted = true;
    private boolean requestWritten;
    private boolean reusable;
    private boolean bodyEndsAtClose;
    private boolean failed;
    private long idleSinceNanos;
    private long idleLimitMillis = Long.MAX_VALUE;

    /**
     * Wraps a new channel.
     *
     * @param turns of the channel's event loop
     * @param onRelease called after each response and on close, with whether the connection can be reused
     */
    UpstreamConnection(
            UpstreamChannel channel,
            ResponseDecoder decoder,
            ReadTurns turns,
            BiConsumer<UpstreamConnection, Boolean> onRelease) {
        this.channel = channel;
        this.decoder = decoder;
        this.turns = turns;
        this.onRelease = onRelease;
    }

    // Called by the pool, on the event loop

    void send(UpstreamRequest request, ResponseListener newListener) {
        listener = newListener;
        requestId = request.id();
        requestCount++;
        hasAwaitedTurn = false;
        requestWritten = false;
        reusable = false;
        bodyEndsAtClose = false;
        decoder.expectResponseTo(HttpMethod.valueOf(request.method()));
        channel.writeAndFlush(encode(request)).addListener(f -> {
            requestWritten = f.isSuccess();
            if (!f.isSuccess()) {
                fail(SendFailure.connectionBroken("the request could not be written: " + f.cause()));
            }
        });
    }

    /**
     * Closes the connection without calling the listener. The connection is reset, since bytes of the request that wait
     * in it for a link to recover would otherwise arrive then.
     */
    void cancel() {
        listener = null;
        gathered.clear();
        resetOnClose();
        channel.close();
    }

    private void resetOnClose() {
        if (!channel.isOpen()) {
            return;
        }
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            logger.atFine().withCause(e).log("a connection that is lost already cannot be reset");
        }
    }

    /** Returns whether a request may be sent; must be closed if not. The event loop may not have read a close yet. */
    boolean isUsable(long nowNanos, long maxIdleMillis) {
        long idleMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - idleSinceNanos);
        return channel.isActive()
                && !failed
                && idleMillis < Math.min(idleLimitMillis, maxIdleMillis)
                && !channel.probeInput();
    }

    void markIdleSince(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    boolean isIdle() {
        return listener == null;
    }

    void close() {
        channel.close();
    }

    /** Pauses or resumes reading, which applies backpressure to the upstream while the caller reads slowly. */
    void setReading(boolean reading) {
        readingWanted = reading;
        updateReading();
    }

    private void updateReading() {
        channel.config().setAutoRead(readingWanted && !awaitsTurn);
    }

    // Events of the channel

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        ResponseListener current = listener;
        if (current == null) {
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            failDecoding(message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response, current);
        }
        if (message instanceof HttpContent content && listener != null) {
            readBody(content.content());
            if (content instanceof LastHttpContent) {
                passOnGathered();
                readEnd();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOnGathered();
        partsInTurn = 0;
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(SendFailure.connectionBroken("the upstream closed the connection"));
        onRelease.accept(this, false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(SendFailure.connectionBroken(String.valueOf(cause.getMessage())));
        context.close();
    }

    // Internals

    private void failDecoding(Throwable cause) {
        logger.atInfo()
                .with(LogKeys.REQUEST, requestId)
                .log("what was received is no HTTP response: %s", LogText.firstPrintable(String.valueOf(cause)));
        fail(SendFailure.invalidResponse("invalid HTTP response"));
    }

    private void readBody(ByteBuf part) {
        gathered.append(part);
        if (gathered.size() >= MAX_GATHERED_BYTES) {
            passOnGathered();
        }
        partsInTurn++;
        if (partsInTurn > MAX_PARTS_IN_TURN && !awaitsTurn && listener != null) {
            awaitTurn();
        }
    }

    private void passOnGathered() {
        ResponseListener current = listener;
        if (!gathered.isEmpty() && current != null) {
            current.onBody(gathered.drain());
        }
    }

    private void awaitTurn() {
        if (!hasAwaitedTurn) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, requestId)
                    .log("the answer comes in very many small parts and is read in turns with others");
        }
        hasAwaitedTurn = true;
        awaitsTurn = true;
        updateReading();
        turns.await(this::takeTurn);
    }

    private boolean takeTurn() {
        awaitsTurn = false;
        updateReading();
        return channel.isOpen();
    }

    private void readHead(HttpResponse response, ResponseListener current) {
        boolean framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        bodyEndsAtClose = !framed && !decoder.hasNoBody(response.status().code());
        reusable = HttpUtil.isKeepAlive(response) && !bodyEndsAtClose;
        String keepAlive = response.headers().get(KEEP_ALIVE);
        if (keepAlive != null) {
            idleLimitMillis = idleLimitMillis(keepAlive);
        }
        current.onHead(new ResponseHead(
                response.status().code(), response.headers().entries(), bodyEndsAtClose, requestCount > 1));
    }

    /**
     * Returns the idle time that a Keep-Alive header allows, less a margin in which the upstream may already be closing
     * the connection. The margin covers the way of the bytes and delays of the event loop, which do not grow with the
     * timeout.
     */
    private static long idleLimitMillis(String keepAlive) {
        int at = keepAlive.indexOf(TIMEOUT);
        if (at < 0) {
            return Long.MAX_VALUE;
        }
        String digits = keepAlive.substring(at + TIMEOUT.length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return Long.MAX_VALUE;
        }
        return TimeUnit.SECONDS.toMillis(Long.parseLong(digits)) - IDLE_MARGIN_MILLIS;
    }

    private void readEnd() {
        ResponseListener current = listener;
        if (current == null || (bodyEndsAtClose && failed)) {
            return;
        }
        listener = null;
        boolean canReuse = reusable && requestWritten && channel.isActive();
        current.onEnd();
        if (!canReuse) {
            channel.close();
        }
        onRelease.accept(this, canReuse);
    }

    private void fail(SendFailure failure) {
        failed = true;
        passOnGathered();
        ResponseListener current = listener;
        listener = null;
        channel.close();
        if (current != null) {
            current.onFailure(failure);
        }
    }

    private static FullHttpRequest encode(UpstreamRequest request) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        request.headers().forEach(h -> headers.add(h.getKey(), h.getValue()));
        int length = request.body().size();
        if (length > 0 || Objects.equals(request.method(), "POST")) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        ByteBuf body =
                Unpooled.wrappedBuffer(request.body().asReadOnlyByteBufferList().toArray(ByteBuffer[]::new));
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                body,
                headers,
                EmptyHttpHeaders.INSTANCE);
    }
}
