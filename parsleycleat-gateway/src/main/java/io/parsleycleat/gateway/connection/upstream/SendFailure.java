package io.parsleycleat.gateway.connection.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Objects;

/**
 * Describes why a request got no complete response.
 *
 * @param detail for logs and callers
 */
public record SendFailure(Kind kind, String detail) {
    /** What became of the request and its connection. */
    public enum Kind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** No byte of the request was sent, since the upstream refuses connections: no process listens there. */
        REFUSED,
        /** The connection broke, as it does when the upstream crashes, after bytes may have been sent. */
        CONNECTION_BROKEN,
        /** The response cannot be used, on a connection that is not lost. */
        INVALID_RESPONSE
    }

    public SendFailure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns a failure before any byte of the request was sent. */
    public static SendFailure notSent(String detail) {
        return new SendFailure(Kind.NOT_SENT, detail);
    }

    /** Returns the failure of an attempt to connect. */
    public static SendFailure notConnected(Throwable cause) {
        boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return new SendFailure(refused ? Kind.REFUSED : Kind.NOT_SENT, String.valueOf(cause));
    }

    /** Returns a failure by loss of the connection after bytes of the request may have been sent. */
    public static SendFailure connectionBroken(String detail) {
        return new SendFailure(Kind.CONNECTION_BROKEN, detail);
    }

    /** Returns a failure by a response that cannot be used, on a connection that is not lost. */
    public static SendFailure invalidResponse(String detail) {
        return new SendFailure(Kind.INVALID_RESPONSE, detail);
    }

    /** Returns whether bytes of the request may have reached the upstream. */
    public boolean mayHaveRun() {
        return kind == Kind.CONNECTION_BROKEN || kind == Kind.INVALID_RESPONSE;
    }

    /** Returns whether the connection broke while a request may have been running on it. */
    public boolean connectionBroken() {
        return kind == Kind.CONNECTION_BROKEN;
    }

    /** Returns whether no process listens at the address of the upstream. */
    public boolean refused() {
        return kind == Kind.REFUSED;
    }
}
