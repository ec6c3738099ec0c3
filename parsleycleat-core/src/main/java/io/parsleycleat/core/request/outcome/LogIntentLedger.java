package io.parsleycleat.core.request.outcome;

import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.IntentFold.KeyId;
import io.parsleycleat.wire.outcome.Outcome;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.IntStream;

/**
 * An intent ledger whose only authority is the order of records in the log.
 *
 * <p>An intent is appended before each run, and the run starts only after it was read back as the first for its key.
 * Sides share nothing else, so any number of them may handle the same key at the same time.
 *
 * <p>Created once by a side of a plain service; safe to share between threads.
 */
public final class LogIntentLedger implements IntentLedger {
    private final LogClient log;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final String owner;
    private final LedgerSettings settings;
    private final Map<String, IntentShard> shards = new ConcurrentHashMap<>();

    /** Creates a ledger. The owner's name is unique to this incarnation of the process. */
    public LogIntentLedger(
            LogClient log, TimeSource time, ScheduledExecutorService scheduler, String owner, LedgerSettings settings) {
        this.log = log;
        this.time = time;
        this.scheduler = scheduler;
        this.owner = owner;
        this.settings = settings;
    }

    /** Returns the name of the stream that holds a key's records. */
    public static String streamOf(String service, String accountId, String idempotencyKey, int shards) {
        int shard = Math.floorMod(new KeyId(accountId, idempotencyKey).hashCode(), shards);
        return "intents-" + service + "-" + shard;
    }

    /** Reads a service's streams up to their ends, so that the first request need not wait for it. */
    public CompletableFuture<Void> warmUp(String service) {
        return CompletableFuture.allOf(IntStream.range(0, settings.shards())
                .mapToObj(i -> shard("intents-" + service + "-" + i).warmUp())
                .toArray(CompletableFuture<?>[]::new));
    }

    @Override
    public CompletableFuture<IntentDecision> begin(IntentRequest request) {
        return IdempotencyKey.check(
                        request.idempotencyKey(), time.wallMillis(), settings.window(), settings.clockTolerance())
                .fold(refusal -> CompletableFuture.completedFuture(new IntentDecision.Refused(refusal)), key -> shard(
                                request.service(), request.accountId(), key.text())
                        .begin(request, key));
    }

    @Override
    public CompletableFuture<Void> complete(String service, Outcome outcome) {
        String key = normalize(outcome.getIdempotencyKey());
        Outcome bounded = outcome.getBody().size() <= settings.maxOutcomeBytes()
                ? outcome
                : outcome.toBuilder().clearBody().setBodyOmitted(true).build();
        return shard(service, outcome.getAccountId(), key)
                .complete(bounded.toBuilder().setIdempotencyKey(key).build(), outcome);
    }

    @Override
    public void cancel(IntentRequest request, String attemptId) {
        String key = normalize(request.idempotencyKey());
        shard(request.service(), request.accountId(), key).cancel(new KeyId(request.accountId(), key), attemptId);
    }

    @Override
    public void abandon(IntentRequest request, String attemptId) {
        shard(request.service(), request.accountId(), normalize(request.idempotencyKey()))
                .abandon(attemptId);
    }

    private static String normalize(String idempotencyKey) {
        return IdempotencyKey.normalize(idempotencyKey);
    }

    private IntentShard shard(String service, String accountId, String idempotencyKey) {
        return shard(streamOf(service, accountId, idempotencyKey, settings.shards()));
    }

    private IntentShard shard(String stream) {
        return shards.computeIfAbsent(stream, s -> new IntentShard(s, log, time, scheduler, owner, settings));
    }
}
