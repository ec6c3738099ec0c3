package io.parsleycleat.core.connection.caller;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The answer to one request on a Netty channel.
 *
 * <p>An unexpected failure of one of its actions ends the answer: as an error as long as nothing of it has left, else
 * by closing the connection or stream.
 *
 * <p>Created by {@link CallerHandler} for each request. Its state is used on the channel's event loop only; calls from
 * other threads are passed there in order.
 */
final class NettyCallerExchange implements CallerExchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String KEEP_ALIVE = "keep-alive";

    private enum State {
        WAITING,
        STARTED,
        ENDED
    }

    private final ChannelHandlerContext context;
    private final boolean http2;
    private final AnswerConnection connection;
    private final boolean headRequest;
    private final List<Runnable> goneActions = new ArrayList<>();
    /** Actions that have not run yet; a part is written at once only when it passes none of them. */
    private final AtomicInteger queued = new AtomicInteger();

    private State state = State.WAITING;
    private boolean gone;
    private boolean announcedClose;

    NettyCallerExchange(
            ChannelHandlerContext context, boolean http2, AnswerConnection connection, boolean headRequest) {
        this.context = context;
        this.http2 = http2;
        this.connection = connection;
        this.headRequest = headRequest;
    }

    // Answer

    @Override
    public void respond(int status, List<Map.Entry<String, String>> headers, ByteString body) {
        onLoop(() -> {
            if (state == State.WAITING) {
                finish(whole(status, headers, body));
            }
        });
    }

    @Override
    public void start(int status, List<Map.Entry<String, String>> headers) {
        onLoop(() -> {
            if (state != State.WAITING) {
                return;
            }
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            headers.forEach(h -> response.headers().add(h.getKey(), h.getValue()));
            if (!http2) {
                HttpUtil.setTransferEncodingChunked(response, !HttpUtil.isContentLengthSet(response));
                setConnection(response);
            }
            state = State.STARTED;
            context.writeAndFlush(response);
        });
    }

    @Override
    public void write(ByteString part, Runnable written) {
        if (context.executor().inEventLoop() && queued.get() == 0) {
            writeNow(part, written);
        } else {
            onLoop(() -> writeNow(part, written));
        }
    }

    private void writeNow(ByteString part, Runnable written) {
        if (state == State.STARTED) {
            ByteBuf content = Unpooled.wrappedBuffer(part.asReadOnlyByteBuffer());
            context.writeAndFlush(new DefaultHttpContent(content)).addListener(f -> run(written));
        } else {
            run(written);
        }
    }

    @Override
    public void end() {
        onLoop(() -> {
            if (state == State.STARTED) {
                finish(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        });
    }

    @Override
    public void abort() {
        onLoop(() -> {
            if (state != State.ENDED) {
                cut();
            }
        });
    }

    @Override
    public void onGone(Runnable action) {
        onLoop(() -> {
            if (gone) {
                action.run();
            } else if (state != State.ENDED) {
                goneActions.add(action);
            }
        });
    }

    // Used by the handler, on the event loop

    void callerLeft() {
        if (state != State.ENDED) {
            state = State.ENDED;
            runGoneActions();
        }
    }

    /** Ends the answer because of an unexpected failure. For the service it is as if the caller had left. */
    void fail(Throwable failure, ResultCode code) {
        String id = UUID.randomUUID().toString();
        logger.atSevere()
                .withCause(failure)
                .with(LogKeys.REQUEST, id)
                .with(LogKeys.CODE, code.number())
                .log("unexpected failure, answer %s", state);
        if (state == State.ENDED) {
            return;
        }
        List<Runnable> actions = List.copyOf(goneActions);
        if (state == State.WAITING) {
            Refusal refusal = Refusal.of(code);
            finish(whole(
                    code.httpStatus(),
                    ErrorAnswer.headers(id, refusal),
                    ByteString.copyFromUtf8(ErrorAnswer.body(id, refusal))));
        } else {
            cut();
        }
        goneActions.addAll(actions);
        runGoneActions();
    }

    // Internals

    private FullHttpResponse whole(int status, List<Map.Entry<String, String>> headers, ByteString body) {
        ByteBuf content = Unpooled.wrappedBuffer(body.asReadOnlyByteBuffer());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                headRequest ? Unpooled.EMPTY_BUFFER : content);
        headers.forEach(h -> response.headers().add(h.getKey(), h.getValue()));
        if (!headRequest || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setContentLength(response, content.readableBytes());
        }
        return response;
    }

    private void cut() {
        state = State.ENDED;
        if (http2) {
            context.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.INTERNAL_ERROR))
                    .addListener(ChannelFutureListener.CLOSE);
        } else {
            context.close();
        }
    }

    private void runGoneActions() {
        gone = true;
        List<Runnable> actions = List.copyOf(goneActions);
        goneActions.clear();
        actions.forEach(this::run);
    }

    private void finish(Object last) {
        state = State.ENDED;
        goneActions.clear();
        if (last instanceof HttpResponse response && !http2) {
            setConnection(response);
        }
        context.writeAndFlush(last).addListener(f -> {
            if (f.isSuccess()) {
                connection.onAnswered(announcedClose);
            } else {
                logger.atFine().log("answer did not reach its caller: %s", f.cause());
                context.close();
            }
        });
    }

    private void setConnection(HttpResponse response) {
        if (!connection.staysOpen()) {
            announcedClose = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            return;
        }
        connection.idleSeconds().ifPresent(seconds -> response.headers()
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE)
                .set(KEEP_ALIVE, "timeout=" + seconds));
    }

    private void onLoop(Runnable action) {
        queued.incrementAndGet();
        context.executor().execute(() -> {
            queued.decrementAndGet();
            run(action);
        });
    }

    private void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            fail(e, ResultCode.FAILURE_UNEXPECTED);
        }
    }
}
