package io.parsleycleat.core.process.logging;

import com.google.common.flogger.MetadataKey;

/** The fields of structured log lines. */
public final class LogKeys {
    /** The number of a result code. */
    public static final MetadataKey<Integer> CODE = MetadataKey.single("code", Integer.class);
    /** The id of a caller's request. */
    public static final MetadataKey<String> REQUEST = MetadataKey.single("request", String.class);
    /** The id of a client account. */
    public static final MetadataKey<String> ACCOUNT = MetadataKey.single("account", String.class);
    /** The id of an upstream. */
    public static final MetadataKey<String> UPSTREAM = MetadataKey.single("upstream", String.class);
    /** The name of a VM or the address of a peer. */
    public static final MetadataKey<String> PEER = MetadataKey.single("peer", String.class);
    /** An adapter with its version. */
    public static final MetadataKey<String> ADAPTER = MetadataKey.single("adapter", String.class);
    /** An offset of the log. */
    public static final MetadataKey<Long> OFFSET = MetadataKey.single("offset", Long.class);

    private LogKeys() {}
}
