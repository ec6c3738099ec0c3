package io.parsleycleat.gateway.process.members;

import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.permits.PermitQuery;
import io.parsleycleat.gateway.request.permits.PermitReply;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import io.parsleycleat.wire.gate.LimitNotice;
import io.parsleycleat.wire.gate.LimitReport;
import io.parsleycleat.wire.gate.PermitGrant;
import io.parsleycleat.wire.gate.PermitRequest;
import io.parsleycleat.wire.gate.UpstreamId;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Translates permits and limits to and from messages between entries. Stateless. */
final class PermitMessages {
    private PermitMessages() {}

    static PermitRequest encode(PermitQuery query) {
        return PermitRequest.newBuilder()
                .setUpstream(encode(query.upstream()))
                .setKnownLimit(query.known().requestsPerSecond())
                .setKnownMillis(
                        (int) Math.min(Integer.MAX_VALUE, query.knownFor().toMillis()))
                .setPriority(query.priority())
                .setWaitMillis((int) query.maxWait().toMillis())
                .build();
    }

    static PermitQuery decode(PermitRequest request) {
        return new PermitQuery(
                decode(request.getUpstream()),
                RequestLimit.of(request.getKnownLimit()),
                Duration.ofMillis(request.getKnownMillis()),
                request.getPriority(),
                Duration.ofMillis(request.getWaitMillis()));
    }

    static PermitGrant encode(PermitReply reply) {
        return PermitGrant.newBuilder()
                .setResult(
                        switch (reply.result()) {
                            case GRANTED -> PermitGrant.Result.GRANTED;
                            case REFUSED -> PermitGrant.Result.REFUSED;
                            case UNLIMITED -> PermitGrant.Result.UNLIMITED;
                            case INACTIVE -> PermitGrant.Result.INACTIVE;
                        })
                .setPermit(reply.permit())
                .setRetryAfterMillis((int) reply.retryAfter().toMillis())
                .setClosedMillis((int) reply.closedFor().toMillis())
                .build();
    }

    static PermitReply decode(PermitGrant grant) {
        return switch (grant.getResult()) {
            case GRANTED -> PermitReply.granted(grant.getPermit());
            case UNLIMITED -> PermitReply.UNLIMITED;
            case REFUSED -> PermitReply.refused(
                    Duration.ofMillis(grant.getRetryAfterMillis()), Duration.ofMillis(grant.getClosedMillis()));
            case INACTIVE, UNRECOGNIZED -> PermitReply.INACTIVE;
        };
    }

    static LimitReport encodeReport(UpstreamStart upstream, long permit, @Nullable RequestLimit named) {
        LimitReport.Builder report =
                LimitReport.newBuilder().setUpstream(encode(upstream)).setPermit(permit);
        if (named != null) {
            report.setNamedLimit(named.requestsPerSecond());
        }
        return report.build();
    }

    /** Returns the limit that a report names; null for none. */
    static @Nullable RequestLimit namedLimit(LimitReport report) {
        return report.hasNamedLimit() ? RequestLimit.of(report.getNamedLimit()) : null;
    }

    static LimitNotice encodeNotice(UpstreamStart upstream, RequestLimit limit, long number) {
        return LimitNotice.newBuilder()
                .setUpstream(encode(upstream))
                .setLimit(limit.requestsPerSecond())
                .setNumber(number)
                .build();
    }

    static UpstreamStart decode(UpstreamId id) {
        return new UpstreamStart(id.getId(), id.getBorn());
    }

    private static UpstreamId encode(UpstreamStart upstream) {
        return UpstreamId.newBuilder()
                .setId(upstream.upstreamId())
                .setBorn(upstream.startMillis())
                .build();
    }
}
