package io.parsleycleat.core.version.configuration.snapshot;

import com.google.protobuf.ByteString;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.SnapshotChunk;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.stream.IntStream;

/** Cuts snapshots into records. Stateless. */
public final class SnapshotChunks {
    /** Largest part of a snapshot in one record, in bytes. */
    public static final int CHUNK_BYTES = 48 * 1024;

    private SnapshotChunks() {}

    /** Returns the records that hold a snapshot, in order. */
    public static List<ConfigurationRecord> split(String snapshotId, Snapshot snapshot) {
        ByteString bytes = snapshot.toByteString();
        ByteString hash = hash(bytes);
        int count = Math.max(1, (bytes.size() + CHUNK_BYTES - 1) / CHUNK_BYTES);
        return IntStream.range(0, count)
                .mapToObj(i -> SnapshotChunk.newBuilder()
                        .setSnapshotId(snapshotId)
                        .setIndex(i)
                        .setCount(count)
                        .setNextOffset(snapshot.getNextOffset())
                        .setSha256(hash)
                        .setData(bytes.substring(i * CHUNK_BYTES, Math.min(bytes.size(), (i + 1) * CHUNK_BYTES)))
                        .build())
                .map(chunk ->
                        ConfigurationRecord.newBuilder().setSnapshotChunk(chunk).build())
                .toList();
    }

    static ByteString hash(ByteString bytes) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            bytes.asReadOnlyByteBufferList().forEach(digest::update);
            return ByteString.copyFrom(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
