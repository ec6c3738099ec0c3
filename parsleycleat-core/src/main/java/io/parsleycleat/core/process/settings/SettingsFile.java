package io.parsleycleat.core.process.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Reads a settings file as a whole.
 *
 * <p>Stateless; safe to share.
 */
public final class SettingsFile {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private SettingsFile() {}

    /** Reads and checks a file. */
    public static <T> T read(Path file, Function<SettingsNode, T> reader) {
        try {
            return parse(file.toString(), Files.readString(file), reader);
        } catch (IOException e) {
            throw new SettingsException(
                    ResultCode.SETTINGS_UNREADABLE,
                    Location.of(file.toString()),
                    e.getClass().getSimpleName(),
                    "a readable file");
        }
    }

    /** Checks settings that were read already; the name stands in errors. */
    public static <T> T parse(String name, String json, Function<SettingsNode, T> reader) {
        return parse(name, json, reader, new ArrayList<>());
    }

    /** Returns the description of every field that a reader asks for. */
    public static <T> List<SettingDescription> describe(String json, Function<SettingsNode, T> reader) {
        List<SettingDescription> descriptions = new ArrayList<>();
        parse("settings", json, reader, descriptions);
        return descriptions.stream().distinct().toList();
    }

    private static <T> T parse(
            String name, String json, Function<SettingsNode, T> reader, List<SettingDescription> descriptions) {
        SettingsNode root = new SettingsNode(name, "", parseObject(name, json), descriptions);
        T settings = reader.apply(root);
        root.end();
        return settings;
    }

    private static ObjectNode parseObject(String name, String json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw new SettingsException(
                    ResultCode.SETTINGS_TYPE_WRONG, Location.of(name), String.valueOf(node), "an object");
        } catch (JsonProcessingException e) {
            String place = e.getLocation() == null
                    ? ""
                    : "line " + e.getLocation().getLineNr() + " column "
                            + e.getLocation().getColumnNr();
            throw new SettingsException(
                    ResultCode.SETTINGS_UNREADABLE, new Location(name, place), e.getOriginalMessage(), "a JSON object");
        }
    }
}
