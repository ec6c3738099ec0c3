package io.parsleycleat.core.connection.caller;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.util.ReferenceCountUtil;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.connection.body.PartBuffer;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Reads requests from one HTTP/1.1 connection or one HTTP/2 stream and answers them one after another.
 *
 * <p>Created for each connection or stream; used on its event loop only.
 */
final class CallerHandler extends SimpleChannelInboundHandler<HttpObject> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How much longer than its caller knows a connection may be idle, so that the last request it may send arrives. */
    static final Duration IDLE_CLOSE_MARGIN = Duration.ofSeconds(1);

    /** A body is held for about as long as its request runs, most of them for less than a second. */
    private static final Refusal NO_MEMORY =
            Refusal.of(ResultCode.BODIES_FILL_MEMORY).withRetryAfter(Duration.ofSeconds(1));

    /** Messages behind a running request from which on no more are read from the connection. */
    private static final int MAX_PIPELINED_OBJECTS = 64;
    /** What separates the name of a header from its value. */
    private static final int HEADER_SEPARATOR_BYTES = 2;
    /** Names of headers that the HTTP/2 codec adds. */
    private static final String HTTP2_CODEC_PREFIX = "x-http2-";

    private final Supplier<CallerLimits> limits;
    private final CallerService service;
    private final boolean http2;
    private final BooleanSupplier holdsPartOfHead;
    private final ConnectionRegistry.@Nullable Entry connection;
    private final BooleanSupplier draining;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private final ConnectionTimer timer = new ConnectionTimer();
    private final BodyMemory.Holder bodyMemory;
    private final PartBuffer body = new PartBuffer();
    private @Nullable HttpRequest head;
    private @Nullable NettyCallerExchange exchange;
    /** Size of the body that was allowed when its request's head was read. */
    private int allowedBodyBytes;
    /** How long the caller may leave the connection idle, as last told. */
    private Duration toldIdleTimeout = Duration.ZERO;

    /** When the last answer has left, if any. */
    private @Nullable Long lastAnswerNanos;

    /**
     * Whether bytes were read after the read that completed the last message. Only the decoder knows of bytes behind
     * that message in the same read, see {@code holdsPartOfHead}.
     */
    private boolean bytesRead;
    /** Whether the timer bounds the time until the head of the next request is whole. */
    private boolean awaitsHead;
    /** Whether the connection ends once it carries no request. */
    private boolean leaving;

    /** Whether the last answer of the connection is known; what arrives behind its request is not passed on. */
    private boolean ended;
    /** Whether the process stops and nothing is read any more. */
    private boolean readingEnded;
    /** Whether reading has failed while a request runs; the connection ends once it is answered. */
    private boolean unreadable;

    /**
     * Creates the handler of a connection or stream.
     *
     * @param limits as of now; they may change while the connection is open
     * @param bodyMemory what the bodies of all requests may take together
     * @param holdsPartOfHead whether the decoder holds a part of the next head; always false for HTTP/2
     * @param draining whether the connection closes after the next answer
     */
    CallerHandler(
            Supplier<CallerLimits> limits,
            BodyMemory bodyMemory,
            CallerService service,
            boolean http2,
            BooleanSupplier holdsPartOfHead,
            ConnectionRegistry.@Nullable Entry connection,
            BooleanSupplier draining) {
        this.limits = limits;
        this.bodyMemory = bodyMemory.newHolder();
        this.service = service;
        this.http2 = http2;
        this.holdsPartOfHead = holdsPartOfHead;
        this.connection = connection;
        this.draining = draining;
    }

    // Events of the channel

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        if (!http2) {
            context.pipeline().addFirst(new HeadBytes(() -> bytesRead = true));
            awaitRequest(context, Duration.ZERO);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        timer.stop();
        releaseBody();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        bytesRead = false;
        if (ended || unreadable) {
            return;
        }
        if (exchange != null) {
            keepForLater(context, message);
            return;
        }
        read(context, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (messageBegun() && exchange == null && head == null && !ended && !awaitsHead) {
            awaitHead(context);
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ConnectionEvent.CLOSE_WHEN_UNUSED && !http2) {
            if (!leaving && !messageBegun() && exchange == null && head == null && !ended) {
                startTimer(context, Duration.ZERO, () -> endUnused(context));
            }
            leaving = true;
        } else if (event == ConnectionEvent.END_READING) {
            endReading(context);
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        timer.stop();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        if (exchange != null) {
            exchange.callerLeft();
        }
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            logger.atFine().log("connection of a caller broke: %s", cause);
            context.close();
            return;
        }
        logger.atSevere().withCause(cause).log(
                "unexpected failure on a caller's connection, request %s", exchange == null ? "not run" : "running");
        if (exchange != null) {
            unreadable = true;
        } else if (head != null) {
            refuse(context, Refusal.of(ResultCode.FAILURE_BEFORE_RUN));
        } else {
            context.close();
        }
    }

    // Reading

    /** Returns whether a part of another request was read behind the last message. */
    private boolean messageBegun() {
        return bytesRead || holdsPartOfHead.getAsBoolean();
    }

    /** Bounds the time in which the rest of a head must arrive. Until then the connection is not idle. */
    private void awaitHead(ChannelHandlerContext context) {
        if (connection != null) {
            connection.busy();
        }
        startTimer(
                context,
                limits.get().requestReadTimeout(),
                () -> refuse(context, Refusal.of(ResultCode.REQUEST_TOO_SLOW)));
        awaitsHead = true;
    }

    private void read(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            refuse(context, DecoderRefusal.of(message.decoderResult()));
            return;
        }
        if (message instanceof HttpRequest request) {
            readHead(context, request);
        }
        if (message instanceof HttpContent content && !ended && head != null) {
            readBody(context, content);
        }
    }

    private void readHead(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        if (connection != null) {
            connection.busy();
        }
        timer.stop();
        CallerLimits newest = limits.get();
        allowedBodyBytes = newest.maxBodyBytes();
        startTimer(
                context, newest.requestReadTimeout(), () -> refuse(context, Refusal.of(ResultCode.REQUEST_TOO_SLOW)));
        if (headerBytes(request) > newest.maxHeaderBytes()) {
            refuse(context, Refusal.of(ResultCode.HEADERS_TOO_LARGE));
        } else if (HttpUtil.isContentLengthSet(request)
                && HttpUtil.getContentLength(request, 0L) > newest.maxBodyBytes()) {
            refuse(context, tooLarge());
        } else if (!bodyMemory.hold(Math.max(0, HttpUtil.getContentLength(request, 0L)))) {
            refuse(context, NO_MEMORY);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private static long headerBytes(HttpRequest request) {
        return request.headers().entries().stream()
                .filter(h -> !h.getKey().startsWith(HTTP2_CODEC_PREFIX))
                .mapToLong(h -> h.getKey().length()
                        + HEADER_SEPARATOR_BYTES
                        + h.getValue().length())
                .sum();
    }

    private void readBody(ChannelHandlerContext context, HttpContent content) {
        HttpRequest request = head;
        if (request == null) {
            return;
        }
        allowedBodyBytes = Math.max(allowedBodyBytes, limits.get().maxBodyBytes());
        if (body.size() + content.content().readableBytes() > allowedBodyBytes) {
            refuse(context, tooLarge());
            return;
        }
        body.append(content.content());
        if (!bodyMemory.hold(Math.max(bodyMemory.heldBytes(), body.heldBytes()))) {
            refuse(context, NO_MEMORY);
        } else if (content instanceof LastHttpContent) {
            timer.stop();
            dispatch(context, request, body.drain());
        }
    }

    private void dispatch(ChannelHandlerContext context, HttpRequest request, ByteString content) {
        head = null;
        NettyCallerExchange current = newExchange(context, request, HttpUtil.isKeepAlive(request));
        exchange = current;
        CallerRequest whole;
        try {
            whole = new CallerRequest(
                    request.method().name(), request.uri(), request.headers().entries(), content);
        } catch (RuntimeException | Error e) {
            current.fail(e, ResultCode.FAILURE_BEFORE_RUN);
            return;
        }
        try {
            service.handle(whole, current);
        } catch (RuntimeException | Error e) {
            // The service may have passed the request on before it failed. What it has sent to the exchange goes first.
            context.executor().execute(() -> current.fail(e, ResultCode.FAILURE_UNEXPECTED));
        }
    }

    private NettyCallerExchange newExchange(ChannelHandlerContext context, HttpRequest request, boolean keepAlive) {
        return new NettyCallerExchange(
                context,
                http2,
                new Answering(() -> keepAlive && takesAnother(), last -> answered(context, last)),
                HttpMethod.HEAD.equals(request.method()));
    }

    /** Returns whether a request may follow the running one; those that were read are answered before a close. */
    private boolean takesAnother() {
        return !pipelined.isEmpty() || (!unreadable && !leaving && !draining.getAsBoolean());
    }

    private void answered(ChannelHandlerContext context, boolean last) {
        exchange = null;
        releaseBody();
        lastAnswerNanos = TimeSource.SYSTEM.monotonicNanos();
        if (http2 || ended) {
            return;
        }
        if (last) {
            end(context);
            return;
        }
        while (exchange == null && !ended && !pipelined.isEmpty()) {
            HttpObject next = pipelined.remove();
            try {
                read(context, next);
            } catch (RuntimeException | Error e) {
                exceptionCaught(context, e);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
        if (pipelined.size() < MAX_PIPELINED_OBJECTS && !readingEnded) {
            context.channel().config().setAutoRead(true);
        }
        if (exchange == null && !ended && (head == null || readingEnded)) {
            awaitNext(context);
        }
    }

    private void awaitNext(ChannelHandlerContext context) {
        if (unreadable) {
            end(context);
        } else if (readingEnded) {
            endReading(context);
        } else if (leaving && !messageBegun()) {
            startTimer(context, Duration.ZERO, () -> endUnused(context));
        } else if (messageBegun()) {
            awaitHead(context);
        } else {
            if (connection != null) {
                connection.idle();
            }
            awaitRequest(context, Duration.ZERO);
        }
    }

    /**
     * Keeps a message until the running request is answered. Behind many, the connection is not read any further, and
     * that the caller leaves is only noticed by a write.
     */
    private void keepForLater(ChannelHandlerContext context, HttpObject message) {
        pipelined.add(ReferenceCountUtil.retain(message));
        if (pipelined.size() >= MAX_PIPELINED_OBJECTS) {
            context.channel().config().setAutoRead(false);
        }
    }

    // Refusing

    private void refuse(ChannelHandlerContext context, Refusal refusal) {
        if (ended) {
            return;
        }
        ended = true;
        timer.stop();
        releaseBody();
        Answering answering = new Answering(() -> false, last -> {
            if (last) {
                end(context);
            } else if (readingEnded) {
                endStream(context);
            }
        });
        NettyCallerExchange refusing = new NettyCallerExchange(context, http2, answering, false);
        ErrorAnswer.send(refusing, UUID.randomUUID().toString(), refusal);
    }

    private void releaseBody() {
        body.clear();
        bodyMemory.close();
    }

    private Refusal tooLarge() {
        return Refusal.of(ResultCode.REQUEST_TOO_LARGE, "at most " + allowedBodyBytes + " bytes are allowed");
    }

    /** Ends the connection behind its last answer, which the caller may not have read yet. */
    private void end(ChannelHandlerContext context) {
        ended = true;
        timer.stop();
        if (connection != null) {
            connection.ending();
        }
        LingeringClose.close(context.channel());
    }

    /** Tells the caller of an HTTP/2 request to send no more of it, without taking its answer back. */
    private static void endStream(ChannelHandlerContext context) {
        context.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.NO_ERROR)).addListener(ChannelFutureListener.CLOSE);
    }

    /** Reads no more. What was read as a whole is answered, what was read in part is refused. */
    private void endReading(ChannelHandlerContext context) {
        readingEnded = true;
        leaving = true;
        if (ended) {
            return;
        }
        if (!http2) {
            context.channel().config().setAutoRead(false);
        }
        if (exchange == null && (messageBegun() || head != null)) {
            refuse(context, Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(Duration.ZERO));
        } else if (exchange == null && !http2) {
            endUnused(context);
        }
    }

    /** Ends a connection that carries no request. What its caller may send meanwhile is left unread. */
    private void endUnused(ChannelHandlerContext context) {
        ended = true;
        timer.stop();
        if (connection != null) {
            connection.ending();
        }
        LingeringClose.closeUnread(context.channel(), lastAnswerNanos);
    }

    // Timer

    /** Closes the connection once it has been idle for as long as its caller was told, and as the limits allow now. */
    private void awaitRequest(ChannelHandlerContext context, Duration waited) {
        Duration newest = limits.get().idleTimeout();
        Duration allowed = (newest.compareTo(toldIdleTimeout) > 0 ? newest : toldIdleTimeout).plus(IDLE_CLOSE_MARGIN);
        if (allowed.compareTo(waited) > 0) {
            startTimer(context, allowed.minus(waited), () -> awaitRequest(context, allowed));
        } else {
            endUnused(context);
        }
    }

    private void startTimer(ChannelHandlerContext context, Duration delay, Runnable action) {
        awaitsHead = false;
        timer.start(context, delay, action);
    }

    /** The connection as one answer sees it. */
    private final class Answering implements AnswerConnection {
        private final BooleanSupplier staysOpen;
        private final Consumer<Boolean> whenAnswered;

        Answering(BooleanSupplier staysOpen, Consumer<Boolean> whenAnswered) {
            this.staysOpen = staysOpen;
            this.whenAnswered = whenAnswered;
        }

        @Override
        public boolean staysOpen() {
            return staysOpen.getAsBoolean();
        }

        @Override
        public OptionalLong idleSeconds() {
            long seconds = limits.get().idleTimeout().toSeconds();
            toldIdleTimeout = Duration.ofSeconds(seconds);
            return seconds > 0 ? OptionalLong.of(seconds) : OptionalLong.empty();
        }

        @Override
        public void onAnswered(boolean last) {
            whenAnswered.accept(last);
        }
    }
}
