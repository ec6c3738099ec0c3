package io.parsleycleat.core.process.settings;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Parses IP addresses with a port, without ever asking a name service. Stateless. */
public final class IpAddresses {
    private static final int MAX_PORT = 65_535;

    private IpAddresses() {}

    /** Returns the address, or nothing when the text is not an IP address and a port. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return Optional.empty();
        }
        String host = text.substring(0, colon).replaceAll("^\\[|]$", "");
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        Optional<Integer> port = parsePort(text.substring(colon + 1));
        if (bytes == null || port.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(bytes), port.get()));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Returns the text form that {@link #parse} reads. */
    public static String format(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }

    private static Optional<Integer> parsePort(String text) {
        if (!text.matches("\\d{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text);
        return port <= MAX_PORT ? Optional.of(port) : Optional.empty();
    }
}
