package io.parsleycleat.standin.command;

import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.http.Recorder;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** Starts one stand-in, tells its address and runs until the process is stopped. Created by args4j for one call. */
abstract class StandInCommand implements Command {
    private static final int EXIT_USAGE = 2;

    @Option(name = "--listen", metaVar = "IP:PORT", usage = "address to listen at; port 0 takes a free one")
    private String listen = "127.0.0.1:0";

    @Option(name = "--records", metaVar = "N", usage = "number of requests that are remembered")
    private int records = Recorder.DEFAULT_LIMIT;

    @Override
    public final int run() throws InterruptedException {
        InetSocketAddress address = IpAddresses.parse(listen).orElse(null);
        if (address == null) {
            System.err.println("--listen " + listen + " is not an IP address and port");
            return EXIT_USAGE;
        }
        StandIn standIn = start(address);
        Runtime.getRuntime().addShutdownHook(new Thread(standIn::close));
        System.out.println("listening " + IpAddresses.format(standIn.address()));
        System.out.flush();
        new CountDownLatch(1).await();
        return 0;
    }

    abstract StandIn start(InetSocketAddress address);

    final int records() {
        return records;
    }
}
