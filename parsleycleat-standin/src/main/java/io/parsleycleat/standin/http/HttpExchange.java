package io.parsleycleat.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * One HTTP request and the means to answer it, whole or in parts.
 *
 * <p>Created by {@link HttpServer} for each request; safe to share between threads, as long as one at a time answers.
 */
public final class HttpExchange {
    private static final String JSON = "application/json";

    private final Channel channel;
    private final String method;
    private final String uri;
    private final QueryStringDecoder query;
    private final List<Header> headers;
    private final byte[] body;

    HttpExchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.method = request.method().name();
        this.uri = request.uri();
        this.query = new QueryStringDecoder(request.uri());
        this.headers = request.headers().entries().stream()
                .map(e -> new Header(e.getKey(), e.getValue()))
                .toList();
        this.body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
    }

    // The request

    /** Returns the request's method. */
    public String method() {
        return method;
    }

    /** Returns the path and query as they arrived. */
    public String uri() {
        return uri;
    }

    /** Returns the decoded path without the query. */
    public String path() {
        return query.path();
    }

    /** Returns the parts of the path between slashes. */
    public List<String> segments() {
        return Arrays.stream(path().split("/", -1)).skip(1).toList();
    }

    /** Returns a number of the query, or the fallback when it is missing or not a number. */
    public long queryNumber(String name, long fallback) {
        return query.parameters().getOrDefault(name, List.of()).stream()
                .filter(v -> v.matches("-?\\d{1,18}"))
                .map(Long::parseLong)
                .findFirst()
                .orElse(fallback);
    }

    /** Returns all headers in the order of their arrival. */
    public List<Header> headers() {
        return headers;
    }

    /** Returns the first value of a header, or an empty text. */
    public String header(String name) {
        return headers.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst()
                .orElse("");
    }

    /** Returns the body as text. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the body as JSON, or a missing node when it is not JSON. */
    public JsonNode bodyJson() {
        return Json.parse(bodyText());
    }

    // A whole answer

    /** Answers with JSON. */
    public void respond(int status, JsonNode json) {
        respond(status, JSON, json.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with JSON and its tag, or without a body when the request names that tag already. */
    public void respondTagged(JsonNode json) {
        byte[] content = json.toString().getBytes(StandardCharsets.UTF_8);
        String tag = '"' + Integer.toHexString(Arrays.hashCode(content)) + '"';
        boolean unchanged = tag.equals(header("If-None-Match"));
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                unchanged ? HttpResponseStatus.NOT_MODIFIED : HttpResponseStatus.OK,
                unchanged ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.ETAG, tag);
        if (!unchanged) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, JSON);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        }
        channel.writeAndFlush(response);
    }

    /** Answers with a body of any type. */
    public void respond(int status, String contentType, byte[] content) {
        ByteBuf buffer = Unpooled.wrappedBuffer(content);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), buffer);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        channel.writeAndFlush(response);
    }

    /** Answers that the request came too early, with the seconds after which it may come again. */
    public void respondRetryAfter(int status, long seconds, JsonNode json) {
        byte[] content = json.toString().getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, JSON);
        response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        channel.writeAndFlush(response);
    }

    // An answer in parts

    /** Sends the head of an answer whose body follows in parts. */
    public void begin(int status, String contentType) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(response);
    }

    /** Sends the head of an answer of known length whose body follows in parts. */
    public void begin(int status, String contentType, long length) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        channel.writeAndFlush(response);
    }

    /** Sends a part of the body. */
    public void write(byte[] part) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
    }

    /** Sends a part of the body as text. */
    public void write(String part) {
        write(part.getBytes(StandardCharsets.UTF_8));
    }

    /** Ends an answer that was sent in parts. */
    public void end() {
        channel.writeAndFlush(new DefaultLastHttpContent());
    }

    // The connection

    /** Closes the connection once what was written has left, without ending the answer. */
    public void cut() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.close());
    }

    /** Tells whether the caller is still connected. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Runs an action when the connection closes. */
    public void onClose(Runnable action) {
        ChannelFuture closed = channel.closeFuture();
        closed.addListener(f -> action.run());
    }
}
