package io.parsleycleat.core.process.identity;

import java.security.SecureRandom;
import java.util.Objects;

/**
 * Who a process is: its VM, role, place and incarnation.
 *
 * <p>Created once at the start from the settings; immutable and safe to share.
 */
public record ProcessIdentity(
        String vmName, ProcessRole role, String dataCentre, String region, String peerAddress, long incarnation) {
    private static final int RANDOM_PART = 1000;

    public ProcessIdentity {
        Objects.requireNonNull(vmName, "vmName");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }

    /** Returns an incarnation that is greater than that of any earlier start on a machine with a sane clock. */
    public static long newIncarnation(long wallMillis) {
        return wallMillis * RANDOM_PART + new SecureRandom().nextInt(RANDOM_PART);
    }
}
