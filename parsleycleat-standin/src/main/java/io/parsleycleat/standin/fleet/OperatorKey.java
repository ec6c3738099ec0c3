package io.parsleycleat.standin.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The first operator's key, whose hash stands in the settings of entries. Created by {@link Fleet}; immutable.
 *
 * @param text what an operator presents
 * @param hash SHA-256 of the key's secret part, in hexadecimal
 */
public record OperatorKey(String text, String hash) {
    private static final String PREFIX = "plc-first-operator.";
    private static final int SECRET_BYTES = 32;

    public OperatorKey {
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(hash, "hash");
    }

    static OperatorKey create() {
        byte[] random = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(random);
        String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.US_ASCII));
            return new OperatorKey(PREFIX + secret, HexFormat.of().formatHex(hash));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return PREFIX + "***";
    }
}
