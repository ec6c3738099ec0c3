package io.parsleycleat.core.version.configuration.keys;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text of a key: a public id, which logs and the audit trail may show, and a secret.
 *
 * <p>Created from what a caller presents, or when a key is issued; immutable. Its {@link #toString()} leaves the secret
 * out.
 */
public record KeyFormat(String id, String secret) {
    private static final String PREFIX = "plc-";
    private static final Pattern TEXT =
            Pattern.compile(PREFIX + "([A-Za-z0-9][A-Za-z0-9-]{0,63})\\.([A-Za-z0-9_-]{43})");
    private static final String BEARER = "Bearer ";

    public KeyFormat {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(secret, "secret");
    }

    /** Returns the key in a text, or nothing when the text is not of a key's form. */
    public static Optional<KeyFormat> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        return matcher.matches() ? Optional.of(new KeyFormat(matcher.group(1), matcher.group(2))) : Optional.empty();
    }

    /** Returns the key in the value of an authorization header. */
    public static Optional<KeyFormat> parseBearer(String header) {
        return header.regionMatches(true, 0, BEARER, 0, BEARER.length())
                ? parse(header.substring(BEARER.length()).strip())
                : Optional.empty();
    }

    /** Returns the text that the holder presents. */
    public String text() {
        return PREFIX + id + "." + secret;
    }

    @Override
    public String toString() {
        return PREFIX + id + ".***";
    }
}
