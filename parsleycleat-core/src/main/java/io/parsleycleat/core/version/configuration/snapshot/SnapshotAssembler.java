package io.parsleycleat.core.version.configuration.snapshot;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.SnapshotChunk;
import io.parsleycleat.wire.configuration.SnapshotMark;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Puts snapshots together from the chunks of a stream. Damaged and incomplete ones are passed over.
 *
 * <p>Created by each reader of the stream; not thread-safe.
 */
public final class SnapshotAssembler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_OPEN = 4;
    private static final int MAX_CHUNKS = 1024;

    private final Map<String, Parts> open = new LinkedHashMap<>();

    /** A whole snapshot and where it stands. Created by an assembler; immutable. */
    public record Assembled(Snapshot snapshot, SnapshotMark mark) {
        public Assembled {
            Objects.requireNonNull(snapshot, "snapshot");
            Objects.requireNonNull(mark, "mark");
        }
    }

    /** Takes a chunk and returns the snapshot that it completes. Repeated chunks change nothing. */
    public Optional<Assembled> add(long offset, long timeMillis, SnapshotChunk chunk) {
        if (chunk.getCount() < 1 || chunk.getCount() > MAX_CHUNKS || chunk.getIndex() >= chunk.getCount()) {
            return Optional.empty();
        }
        Parts parts = open.computeIfAbsent(chunk.getSnapshotId(), id -> new Parts(chunk, offset, timeMillis));
        if (open.size() > MAX_OPEN) {
            open.remove(open.keySet().iterator().next());
        }
        if (!parts.add(chunk)) {
            return Optional.empty();
        }
        open.remove(chunk.getSnapshotId());
        return parts.assemble();
    }

    /** The chunks of one snapshot so far. Created for its first chunk. */
    private static final class Parts {
        private final SnapshotChunk first;
        private final SnapshotMark mark;
        private final @Nullable ByteString[] data;

        Parts(SnapshotChunk first, long offset, long timeMillis) {
            this.first = first;
            data = new ByteString[first.getCount()];
            mark = SnapshotMark.newBuilder()
                    .setOffset(offset)
                    .setTimeMillis(timeMillis)
                    .setNextOffset(first.getNextOffset())
                    .build();
        }

        boolean add(SnapshotChunk chunk) {
            if (chunk.getCount() != data.length || !chunk.getSha256().equals(first.getSha256())) {
                return false;
            }
            data[chunk.getIndex()] = chunk.getData();
            return Arrays.stream(data).allMatch(Objects::nonNull);
        }

        Optional<Assembled> assemble() {
            ByteString bytes = ByteString.copyFrom(List.of(Objects.requireNonNull(data)));
            try {
                Snapshot snapshot = Snapshot.parseFrom(bytes);
                if (SnapshotChunks.hash(bytes).equals(first.getSha256())
                        && snapshot.getNextOffset() == mark.getNextOffset()) {
                    return Optional.of(new Assembled(snapshot, mark));
                }
            } catch (InvalidProtocolBufferException ignored) {
                // Reported below, as any other damage.
            }
            logger.atWarning()
                    .with(LogKeys.CODE, ResultCode.SNAPSHOT_DAMAGED.number())
                    .with(LogKeys.OFFSET, mark.getOffset())
                    .log("a snapshot does not match its hash and is passed over");
            return Optional.empty();
        }
    }
}
