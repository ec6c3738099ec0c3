package io.parsleycleat.core.process.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * One JSON object of a settings file, read field by field with its checks.
 *
 * <p>Created by {@link SettingsFile}. Used by one thread during the start. Every field that is asked for is described,
 * and {@link #end()} refuses those that nobody asked for.
 */
public final class SettingsNode {
    private static final String NO_DEFAULT = "none";

    private final String file;
    private final String path;
    private final ObjectNode node;
    private final List<SettingDescription> descriptions;
    private final Set<String> known = new HashSet<>();

    SettingsNode(String file, String path, ObjectNode node, List<SettingDescription> descriptions) {
        this.file = file;
        this.path = path;
        this.node = node;
        this.descriptions = descriptions;
    }

    // Fields

    /** Reads a text field that has to be given and may not be empty. */
    public String text(String name) {
        String allowed = "a text that is not empty";
        JsonNode value = required(name, allowed);
        if (!value.isTextual()) {
            throw wrongType(name, value, allowed);
        }
        if (value.textValue().isEmpty()) {
            throw fault(ResultCode.SETTINGS_OUT_OF_RANGE, name, value.toString(), allowed);
        }
        return value.textValue();
    }

    /** Reads a text field with a default. */
    public String text(String name, String defaultValue) {
        String allowed = "a text";
        JsonNode value = optional(name, allowed, "\"" + defaultValue + "\"");
        if (value == null) {
            return defaultValue;
        }
        if (!value.isTextual()) {
            throw wrongType(name, value, allowed);
        }
        return value.textValue();
    }

    /** Reads a text field that has to be given and match a pattern. */
    public String matching(String name, String pattern, String allowed) {
        JsonNode value = required(name, allowed);
        if (!value.isTextual()) {
            throw wrongType(name, value, allowed);
        }
        if (!value.textValue().matches(pattern)) {
            throw fault(ResultCode.SETTINGS_OUT_OF_RANGE, name, value.toString(), allowed);
        }
        return value.textValue();
    }

    /** Reads a whole number with a default and a range. */
    public int integer(String name, int defaultValue, int min, int max) {
        String allowed = "a whole number from " + min + " to " + max;
        JsonNode value = optional(name, allowed, Integer.toString(defaultValue));
        if (value == null) {
            return defaultValue;
        }
        if (!value.isIntegralNumber()) {
            throw wrongType(name, value, allowed);
        }
        if (!value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
            throw fault(ResultCode.SETTINGS_OUT_OF_RANGE, name, value.toString(), allowed);
        }
        return value.intValue();
    }

    /** Reads a number with a default and a range. */
    public double number(String name, double defaultValue, double min, double max) {
        String allowed = "a number from " + min + " to " + max;
        JsonNode value = optional(name, allowed, Double.toString(defaultValue));
        if (value == null) {
            return defaultValue;
        }
        if (!value.isNumber()) {
            throw wrongType(name, value, allowed);
        }
        if (value.doubleValue() < min || value.doubleValue() > max) {
            throw fault(ResultCode.SETTINGS_OUT_OF_RANGE, name, value.toString(), allowed);
        }
        return value.doubleValue();
    }

    /** Reads a time span in milliseconds. */
    public Duration millis(String name, int defaultMillis, int min, int max) {
        return Duration.ofMillis(integer(name, defaultMillis, min, max));
    }

    /** Reads a truth value with a default. */
    public boolean flag(String name, boolean defaultValue) {
        String allowed = "true or false";
        JsonNode value = optional(name, allowed, Boolean.toString(defaultValue));
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            throw wrongType(name, value, allowed);
        }
        return value.booleanValue();
    }

    /** Reads one of a few words with a default. */
    public <E extends Enum<E>> E choice(String name, Class<E> type, E defaultValue) {
        List<E> choices = List.of(type.getEnumConstants());
        String allowed = "one of " + choices;
        JsonNode value = optional(name, allowed, defaultValue.name());
        if (value == null) {
            return defaultValue;
        }
        if (!value.isTextual()) {
            throw wrongType(name, value, allowed);
        }
        return choices.stream()
                .filter(c -> c.name().equals(value.textValue()))
                .findFirst()
                .orElseThrow(() -> fault(ResultCode.SETTINGS_OUT_OF_RANGE, name, value.toString(), allowed));
    }

    /** Reads an IP address with a port; names are refused. Port 0 lets the machine choose. */
    public InetSocketAddress address(String name) {
        String allowed = "an IP address and port such as 127.0.0.1:8080 or [::1]:8080";
        JsonNode value = required(name, allowed);
        if (!value.isTextual()) {
            throw wrongType(name, value, allowed);
        }
        return IpAddresses.parse(value.textValue())
                .orElseThrow(() -> fault(ResultCode.SETTINGS_NOT_AN_ADDRESS, name, value.toString(), allowed));
    }

    /** Reads the HTTP address of a service, whose host is an IP address. */
    public URI serviceAddress(String name) {
        String allowed = "an HTTP address with an IP such as http://127.0.0.1:9000";
        JsonNode value = required(name, allowed);
        if (!value.isTextual()) {
            throw wrongType(name, value, allowed);
        }
        return parseUri(value.textValue())
                .orElseThrow(() -> fault(ResultCode.SETTINGS_NOT_AN_ADDRESS, name, value.toString(), allowed));
    }

    /** Reads an object that may be left out, in which case all its fields have their defaults. */
    public SettingsNode object(String name) {
        known.add(name);
        JsonNode value = node.get(name);
        if (value != null && !value.isObject()) {
            throw wrongType(name, value, "an object");
        }
        ObjectNode child = value == null ? node.objectNode() : (ObjectNode) value;
        return new SettingsNode(file, child(name), child, descriptions);
    }

    /** Reads a list of objects whose ids differ. */
    public <T> List<T> list(String name, String idField, Function<SettingsNode, T> reader) {
        String allowed = "a list of objects";
        JsonNode value = optional(name, allowed, "[]");
        if (value == null) {
            return List.of();
        }
        if (!value.isArray()) {
            throw wrongType(name, value, allowed);
        }
        List<SettingsNode> nodes = IntStream.range(0, value.size())
                .mapToObj(i -> element(name, i, value.get(i)))
                .toList();
        Set<String> ids = new HashSet<>();
        List<T> items = new ArrayList<>();
        nodes.forEach(n -> {
            String id = n.text(idField);
            if (!ids.add(id)) {
                throw n.fault(ResultCode.SETTINGS_ID_DUPLICATE, idField, id, "an id that stands once");
            }
            items.add(reader.apply(n));
            n.end();
        });
        return List.copyOf(items);
    }

    /** Refuses fields that nobody asked for. */
    public void end() {
        Iterable<String> names = node::fieldNames;
        for (String name : names) {
            if (!known.contains(name)) {
                throw fault(
                        ResultCode.SETTINGS_FIELD_UNKNOWN,
                        name,
                        String.valueOf(node.get(name)),
                        "only " + known.stream().sorted().toList());
            }
        }
    }

    /** Returns the exception for a fault of one field. */
    public SettingsException fault(ResultCode code, String name, String value, String allowed) {
        return new SettingsException(code, new Location(file, child(name)), value, allowed);
    }

    // Internals

    private SettingsNode element(String name, int index, JsonNode value) {
        String place = name + "[" + index + "]";
        if (!(value instanceof ObjectNode object)) {
            throw wrongType(place, value, "an object");
        }
        return new SettingsNode(file, child(place), object, descriptions);
    }

    private static Optional<URI> parseUri(String text) {
        try {
            URI uri = new URI(text);
            boolean valid = "http".equals(uri.getScheme())
                    && uri.getHost() != null
                    && uri.getPort() > 0
                    && IpAddresses.parse(uri.getHost() + ":" + uri.getPort()).isPresent();
            return valid ? Optional.of(uri) : Optional.empty();
        } catch (URISyntaxException e) {
            return Optional.empty();
        }
    }

    private JsonNode required(String name, String allowed) {
        JsonNode value = optional(name, allowed, NO_DEFAULT);
        if (value == null) {
            throw fault(ResultCode.SETTINGS_FIELD_MISSING, name, "(none)", allowed);
        }
        return value;
    }

    private @Nullable JsonNode optional(String name, String allowed, String defaultValue) {
        known.add(name);
        descriptions.add(new SettingDescription(child(name).replaceAll("\\[\\d+]", "[]"), allowed, defaultValue));
        return node.get(name);
    }

    private SettingsException wrongType(String name, JsonNode value, String allowed) {
        return fault(ResultCode.SETTINGS_TYPE_WRONG, name, value.toString(), allowed);
    }

    private String child(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
