package io.parsleycleat.core.request.serve;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.parsleycleat.wire.run.AnswerEnd;
import org.jspecify.annotations.Nullable;

/**
 * Writes the JSON of completion answers, whole or as server-sent events.
 *
 * <p>Created for each request; immutable and safe to share.
 */
final class CompletionAnswer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String EVENT_END = "\n\n";

    private final String requestId;
    private final boolean chat;
    private final String model;
    private final long createdSeconds;

    CompletionAnswer(String requestId, boolean chat, String model, long createdSeconds) {
        this.requestId = requestId;
        this.chat = chat;
        this.model = model;
        this.createdSeconds = createdSeconds;
    }

    /** Returns the event for one piece of text. */
    ByteString event(String text) {
        return event(root(chat ? "chat.completion.chunk" : "text_completion"), text, null);
    }

    /** Returns the events that end a whole stream. */
    ByteString lastEvents(AnswerEnd end) {
        ObjectNode root = root(chat ? "chat.completion.chunk" : "text_completion");
        addUsage(root, end);
        return event(root, "", end.getFinishReason()).concat(ByteString.copyFromUtf8("data: [DONE]" + EVENT_END));
    }

    /** Returns the event that tells that the stream is not whole. */
    static ByteString errorEvent(String errorJson) {
        return ByteString.copyFromUtf8("event: error\ndata: " + errorJson + EVENT_END);
    }

    /** Returns the whole answer. */
    ByteString whole(String text, AnswerEnd end) {
        ObjectNode root = root(chat ? "chat.completion" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", end.getFinishReason());
        addUsage(root, end);
        return ByteString.copyFromUtf8(root.toString());
    }

    private ByteString event(ObjectNode root, String text, @Nullable String finishReason) {
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        return ByteString.copyFromUtf8("data: " + root + EVENT_END);
    }

    private ObjectNode root(String kind) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("id", requestId);
        root.put("object", kind);
        root.put("created", createdSeconds);
        root.put("model", model);
        return root;
    }

    private static void addUsage(ObjectNode root, AnswerEnd end) {
        ObjectNode usage = root.putObject("usage");
        usage.put("prompt_tokens", end.getPromptTokens());
        usage.put("completion_tokens", end.getGeneratedTokens());
        usage.put("total_tokens", end.getPromptTokens() + end.getGeneratedTokens());
    }
}
