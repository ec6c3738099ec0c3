package io.parsleycleat.core.request.serve;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Tells once when a caller's request has its answer, or its caller has left.
 *
 * <p>Created for each request; safe to share between threads.
 */
final class CountedExchange implements CallerExchange {
    private final CallerExchange exchange;
    private final Runnable whenEnded;
    private final AtomicBoolean ended = new AtomicBoolean();

    CountedExchange(CallerExchange exchange, Runnable whenEnded) {
        this.exchange = exchange;
        this.whenEnded = whenEnded;
        exchange.onGone(this::finish);
    }

    @Override
    public void respond(int status, List<Map.Entry<String, String>> headers, ByteString body) {
        exchange.respond(status, headers, body);
        finish();
    }

    @Override
    public void start(int status, List<Map.Entry<String, String>> headers) {
        exchange.start(status, headers);
    }

    @Override
    public void write(ByteString part, Runnable written) {
        exchange.write(part, written);
    }

    @Override
    public void end() {
        exchange.end();
        finish();
    }

    @Override
    public void abort() {
        exchange.abort();
        finish();
    }

    @Override
    public void onGone(Runnable action) {
        exchange.onGone(action);
    }

    private void finish() {
        if (ended.compareAndSet(false, true)) {
            whenEnded.run();
        }
    }
}
