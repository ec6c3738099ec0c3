package io.parsleycleat.core.request.serve;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.limits.TokenCost;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads completion requests.
 *
 * <p>Created once an entry; immutable and safe to share.
 */
final class CompletionParser {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final double BYTES_PER_TOKEN = 4;
    private static final int PREFIX_CHARS = 256;

    private final int maxTokensLimit;

    /** Creates a parser that refuses requests for more tokens than the limit. */
    CompletionParser(int maxTokensLimit) {
        this.maxTokensLimit = maxTokensLimit;
    }

    /** Reads a request body, or says what is wrong with it. */
    Either<Refusal, CompletionCall> parse(boolean chat, ByteString body) {
        try {
            JsonNode root = MAPPER.readTree(body.newInput());
            return root instanceof ObjectNode object ? read(chat, object) : malformed("the body is not a JSON object");
        } catch (JsonProcessingException e) {
            return malformed("the body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return malformed("the body cannot be read");
        }
    }

    private Either<Refusal, CompletionCall> read(boolean chat, ObjectNode root) {
        JsonNode model = root.path("model");
        if (!model.isTextual() || model.textValue().isEmpty()) {
            return malformed("model must be a text such as adapter@version");
        }
        JsonNode prompt = chat ? root.path("messages") : root.path("prompt");
        boolean promptFits = chat ? prompt.isArray() && !prompt.isEmpty() : prompt.isTextual();
        if (!promptFits) {
            return malformed(chat ? "messages must be a list that is not empty" : "prompt must be a text");
        }
        JsonNode maxTokens = root.path("max_tokens");
        if (!maxTokens.isMissingNode() && !(maxTokens.isInt() && isAllowed(maxTokens.intValue()))) {
            return malformed("max_tokens must be a whole number from 1 to " + maxTokensLimit);
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            return malformed("stream must be true or false");
        }
        return Either.right(call(chat, root, model.textValue(), prompt));
    }

    private boolean isAllowed(int maxTokens) {
        return maxTokens >= 1 && maxTokens <= maxTokensLimit;
    }

    private CompletionCall call(boolean chat, ObjectNode root, String model, JsonNode prompt) {
        int mark = model.lastIndexOf('@');
        String adapterId = mark < 0 ? model : model.substring(0, mark);
        String version = mark < 0 ? "" : model.substring(mark + 1);
        String text = chat ? prompt.toString() : prompt.textValue();
        boolean streamed = root.path("stream").asBoolean(false);
        int maxTokens = root.path("max_tokens").asInt(Math.min(DEFAULT_MAX_TOKENS, maxTokensLimit));
        ObjectNode forEngine = root.deepCopy();
        forEngine.remove("model");
        return new CompletionCall(
                chat,
                adapterId,
                version,
                streamed,
                TokenCost.estimate(text, chat ? prompt.size() : 1, BYTES_PER_TOKEN, maxTokens),
                prefixHash(text),
                ByteString.copyFromUtf8(forEngine.toString()));
    }

    private static long prefixHash(String text) {
        String prefix = text.substring(0, Math.min(PREFIX_CHARS, text.length()));
        return Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
    }

    private static <T> Either<Refusal, T> malformed(String detail) {
        return Either.left(Refusal.of(ResultCode.REQUEST_MALFORMED, detail));
    }
}
