package io.parsleycleat.standin.load;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Tells the size of the machine. Stateless. */
final class Machine {
    private static final long BYTES_PER_MEGABYTE = 1L << 20;

    private Machine() {}

    static long memoryMegabytes() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getTotalMemorySize()
                / BYTES_PER_MEGABYTE;
    }
}
