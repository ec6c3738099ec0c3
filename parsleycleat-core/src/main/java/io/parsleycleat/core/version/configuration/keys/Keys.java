package io.parsleycleat.core.version.configuration.keys;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Makes keys, and compares them with their stored hashes in constant time. Stateless.
 *
 * <p>Secrets have 256 random bits, so that a plain hash withstands guessing.
 */
public final class Keys {
    /** The id of the operator key whose hash stands in the settings. */
    public static final String FIRST_OPERATOR_ID = "first-operator";

    private static final int SECRET_BYTES = 32;
    private static final int ID_BYTES = 8;
    private static final Base64.Encoder SECRET_TEXT = Base64.getUrlEncoder().withoutPadding();

    private Keys() {}

    /** Returns a key with a random secret. */
    public static KeyFormat newKey(String id) {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return new KeyFormat(id, SECRET_TEXT.encodeToString(secret));
    }

    /**
     * Returns the key that an operator's call issues. Whoever repeats the call with the same operator key gets the same
     * answer from any entry, although no entry remembers secrets.
     */
    public static KeyFormat derive(KeyFormat operatorKey, String changeId) {
        String id = HexFormat.of().formatHex(hmac(operatorKey.secret(), "key id " + changeId), 0, ID_BYTES);
        byte[] secret = hmac(operatorKey.secret(), "key secret " + changeId);
        return new KeyFormat(id, SECRET_TEXT.encodeToString(secret));
    }

    /** Returns the hash that is stored in place of a key's secret. */
    public static ByteString hash(KeyFormat key) {
        return ByteString.copyFrom(sha256(key.secret().getBytes(StandardCharsets.US_ASCII)));
    }

    /** Returns whether a stored hash is that of the key. The time taken does not depend on where they differ. */
    public static boolean matches(KeyFormat key, ByteString hash) {
        return MessageDigest.isEqual(hash(key).toByteArray(), hash.toByteArray());
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    private static byte[] hmac(String secret, String text) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.US_ASCII), "HmacSHA256"));
            return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java runtime has HMAC with SHA-256", e);
        }
    }
}
