package io.parsleycleat.standin.history;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * Something that a caller, an operator, a stand-in or a fault did at a time, in milliseconds of one machine's clock.
 *
 * <p>Immutable and safe to share. Texts that do not apply are empty.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HistoryEvent.Invocation.class, name = "invocation"),
    @JsonSubTypes.Type(value = HistoryEvent.Answer.class, name = "answer"),
    @JsonSubTypes.Type(value = HistoryEvent.UpstreamRun.class, name = "upstream-run"),
    @JsonSubTypes.Type(value = HistoryEvent.Unload.class, name = "unload"),
    @JsonSubTypes.Type(value = HistoryEvent.UpstreamCrash.class, name = "upstream-crash"),
    @JsonSubTypes.Type(value = HistoryEvent.Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = HistoryEvent.KeyIssued.class, name = "key-issued"),
    @JsonSubTypes.Type(value = HistoryEvent.KeyWithdrawn.class, name = "key-withdrawn"),
    @JsonSubTypes.Type(value = HistoryEvent.Limit.class, name = "limit"),
    @JsonSubTypes.Type(value = HistoryEvent.Ownership.class, name = "ownership"),
    @JsonSubTypes.Type(value = HistoryEvent.ChangeAccepted.class, name = "change-accepted"),
    @JsonSubTypes.Type(value = HistoryEvent.ItemRead.class, name = "item-read"),
    @JsonSubTypes.Type(value = HistoryEvent.Fault.class, name = "fault"),
    @JsonSubTypes.Type(value = HistoryEvent.PlannedStop.class, name = "planned-stop")
})
@JsonIgnoreProperties(ignoreUnknown = true)
public sealed interface HistoryEvent {
    /** Returns when it happened. */
    long at();

    /** A caller sent a request. The target is an adapter or a route; an empty version asks for the current one. */
    record Invocation(
            long at,
            String request,
            String keyId,
            String target,
            String version,
            boolean idempotent,
            String idempotencyKey)
            implements HistoryEvent {}

    /** A caller got its final answer. The version is the one that the answer names. */
    record Answer(long at, String request, int code, String version, String body) implements HistoryEvent {}

    /** An upstream ran a request from one time to another. Everything that it saw of the request is in seen. */
    record UpstreamRun(
            long at,
            long end,
            String upstream,
            String request,
            String target,
            String version,
            double tokens,
            String answer,
            List<String> seen)
            implements HistoryEvent {
        public UpstreamRun {
            seen = List.copyOf(seen);
        }
    }

    /** An engine removed an adapter version from a slot. */
    record Unload(long at, String upstream, String adapter, String version) implements HistoryEvent {}

    /** An upstream crashed on a request. */
    record UpstreamCrash(long at, String upstream, String body) implements HistoryEvent {}

    /** The platform or a side said that an upstream is leaving. */
    record Leaving(long at, String upstream) implements HistoryEvent {}

    /** An operator issued a key. */
    record KeyIssued(long at, String keyId, String account, String secret) implements HistoryEvent {}

    /** An operator was told that a key is withdrawn. */
    record KeyWithdrawn(long at, String keyId) implements HistoryEvent {}

    /** An account's rate and burst in tokens, from a time on. */
    record Limit(long at, String account, double tokensPerSecond, double burstTokens) implements HistoryEvent {}

    /** Who may use a target: an account, or everyone with a key when empty; or everyone when it is open to all. */
    record Ownership(long at, String target, String account, boolean openToAll) implements HistoryEvent {}

    /** An operator was told that a change is accepted and which version it gave the item. */
    record ChangeAccepted(long at, String item, long version) implements HistoryEvent {}

    /** A process showed which version of an item is in force in it. */
    record ItemRead(long at, String process, String item, long version) implements HistoryEvent {}

    /** A fault acted from one time to another. */
    record Fault(long at, long end, String kind, String process) implements HistoryEvent {}

    /** A process was told to stop in the planned way. */
    record PlannedStop(long at, String process) implements HistoryEvent {}
}
