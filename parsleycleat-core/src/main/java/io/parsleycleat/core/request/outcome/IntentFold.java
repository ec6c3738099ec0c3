package io.parsleycleat.core.request.outcome;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.wire.outcome.Intent;
import io.parsleycleat.wire.outcome.IntentCancellation;
import io.parsleycleat.wire.outcome.IntentRecord;
import io.parsleycleat.wire.outcome.Outcome;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What the records of one intent stream say about each key.
 *
 * <p>An intent holds its key when, at its place in the log, no other intent holds it and the attempt was not cancelled
 * before. A cancellation frees the key. Every reader of the stream therefore finds the same holder. Answers are not
 * kept here, only where they stand in the log.
 *
 * <p>Created by {@link IntentShard}; used under that shard's lock only.
 */
final class IntentFold {
    private static final long NO_OFFSET = -1;

    private final Map<KeyId, KeyState> states = new HashMap<>();
    private final Deque<Touch> touches = new ArrayDeque<>();

    /** Names a key: keys of different accounts are different. */
    record KeyId(String accountId, String idempotencyKey) {}

    /** The attempt that has a key. */
    record Holder(String attemptId, ByteString bodySha256, long timeMillis, long outcomeOffset) {
        boolean hasOutcome() {
            return outcomeOffset != NO_OFFSET;
        }
    }

    private record Touch(long timeMillis, KeyId key) {}

    private static final class KeyState {
        private final Set<String> cancelled = new HashSet<>(1);
        private @Nullable Holder holder;
        private long touchedMillis;
    }

    /** Takes the next record of the stream. Returns the attempt whose intent it is, or null. */
    @Nullable
    String apply(LogEntry entry) {
        IntentRecord record;
        try {
            record = IntentRecord.parseFrom(entry.value());
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
        switch (record.getRecordCase()) {
            case INTENT -> {
                apply(record.getIntent(), entry.timeMillis());
                return record.getIntent().getAttemptId();
            }
            case CANCELLATION -> apply(record.getCancellation(), entry.timeMillis());
            case OUTCOME -> apply(record.getOutcome(), entry);
            default -> {}
        }
        return null;
    }

    /** Returns the attempt that has the key. */
    @Nullable
    Holder holder(KeyId key) {
        KeyState state = states.get(key);
        return state == null ? null : state.holder;
    }

    /** Forgets keys that no record has named since the given time. */
    void forgetBefore(long timeMillis) {
        while (!touches.isEmpty() && touches.getFirst().timeMillis() < timeMillis) {
            KeyId key = touches.removeFirst().key();
            KeyState state = states.get(key);
            if (state != null && state.touchedMillis < timeMillis) {
                states.remove(key);
            }
        }
    }

    /** Returns the number of keys that are remembered. */
    int size() {
        return states.size();
    }

    private void apply(Intent intent, long timeMillis) {
        KeyState state = touch(new KeyId(intent.getAccountId(), intent.getIdempotencyKey()), timeMillis);
        if (state.holder == null && !state.cancelled.contains(intent.getAttemptId())) {
            state.holder = new Holder(intent.getAttemptId(), intent.getBodySha256(), timeMillis, NO_OFFSET);
        }
    }

    private void apply(IntentCancellation cancellation, long timeMillis) {
        KeyState state = touch(new KeyId(cancellation.getAccountId(), cancellation.getIdempotencyKey()), timeMillis);
        state.cancelled.add(cancellation.getAttemptId());
        Holder holder = state.holder;
        if (holder != null && holder.attemptId().equals(cancellation.getAttemptId()) && !holder.hasOutcome()) {
            state.holder = null;
        }
    }

    private void apply(Outcome outcome, LogEntry entry) {
        KeyState state = touch(new KeyId(outcome.getAccountId(), outcome.getIdempotencyKey()), entry.timeMillis());
        Holder holder = state.holder;
        if (holder != null && holder.attemptId().equals(outcome.getAttemptId()) && !holder.hasOutcome()) {
            state.holder = new Holder(holder.attemptId(), holder.bodySha256(), holder.timeMillis(), entry.offset());
        }
    }

    private KeyState touch(KeyId key, long timeMillis) {
        KeyState state = states.computeIfAbsent(key, k -> new KeyState());
        state.touchedMillis = Math.max(state.touchedMillis, timeMillis);
        touches.addLast(new Touch(timeMillis, key));
        return Objects.requireNonNull(state);
    }
}
