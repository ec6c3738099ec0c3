package io.parsleycleat.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.StreamSupport;

/** Reads and writes the JSON of stand-ins. Stateless. */
public final class Json {
    /** The mapper that all stand-ins share. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns the parsed text, or a missing node when it is not JSON. */
    public static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** Returns a value, usually a record or a list of records, as JSON. */
    public static JsonNode of(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Returns the texts of a list. */
    public static List<String> texts(JsonNode list) {
        return StreamSupport.stream(list.spliterator(), false)
                .map(JsonNode::asText)
                .toList();
    }

    /** Returns an object with one text field, {@code error}. */
    public static ObjectNode error(String detail) {
        return object().put("error", detail);
    }
}
