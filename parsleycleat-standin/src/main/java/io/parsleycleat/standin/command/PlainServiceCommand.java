package io.parsleycleat.standin.command;

import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.upstream.PlainServiceStandIn;
import java.net.InetSocketAddress;
import org.kohsuke.args4j.Option;

/** The sub-command {@code plain-service}. Created by args4j for one call. */
public final class PlainServiceCommand extends StandInCommand {
    @Option(name = "--crash-marker", metaVar = "TEXT", usage = "text in a request that ends the process")
    private String crashMarker = "";

    @Override
    StandIn start(InetSocketAddress address) {
        return new PlainServiceStandIn(address, crashMarker, records());
    }
}
