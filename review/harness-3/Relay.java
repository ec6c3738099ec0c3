import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes connections on to one address. The open ones can be made silent for good; new ones work. */
final class Relay {
    private final ServerSocket listening;
    private final InetSocketAddress target;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();

    Relay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listening = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Threads.daemon(this::accept).start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** Makes the open connections silent: nothing is passed on any more, in either direction, and nothing is closed. */
    int silence() {
        connections.forEach(c -> c.silent = true);
        return connections.size();
    }

    /** Returns the local ports of the open connections to the target. */
    List<Integer> targetPorts() {
        return connections.stream().map(c -> c.out.getLocalPort()).toList();
    }

    private void accept() {
        while (true) {
            try {
                Socket in = listening.accept();
                Socket out = new Socket(target.getAddress(), target.getPort());
                in.setTcpNoDelay(true);
                out.setTcpNoDelay(true);
                Connection connection = new Connection(in, out);
                connections.add(connection);
                Threads.daemon(() -> connection.pass(in, out)).start();
                Threads.daemon(() -> connection.pass(out, in)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private final class Connection {
        private final Socket in;
        private final Socket out;
        private volatile boolean silent;

        Connection(Socket in, Socket out) {
            this.in = in;
            this.out = out;
        }

        void pass(Socket from, Socket to) {
            byte[] buffer = new byte[16 * 1024];
            try {
                InputStream source = from.getInputStream();
                OutputStream sink = to.getOutputStream();
                for (int n = source.read(buffer); n >= 0 && !silent; n = source.read(buffer)) {
                    sink.write(buffer, 0, n);
                    sink.flush();
                }
            } catch (IOException e) {
                // The connection has ended.
            }
            if (!silent) {
                close(in);
                close(out);
                connections.remove(this);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
