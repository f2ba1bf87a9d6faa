import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A network link on loopback: a proxy to a port. While it is cut, it holds all data back and delivers it in order afterwards. */
final class Link {
    final int port;
    private final int target;
    private volatile boolean cut;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Link(int target) throws IOException {
        this.target = target;
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
        Http.THREADS.execute(() -> {
            while (true) {
                try {
                    Socket client = server.accept();
                    Http.THREADS.execute(() -> connect(client));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    void setCut(boolean cut) {
        this.cut = cut;
    }

    private void connect(Socket client) {
        awaitWhole();
        try {
            Socket server = new Socket(InetAddress.getLoopbackAddress(), target);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            Http.THREADS.execute(() -> copy(client, server));
            Http.THREADS.execute(() -> copy(server, client));
        } catch (IOException e) {
            close(client);
        }
    }

    private void awaitWhole() {
        while (cut) Rig.pause(10);
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            while (true) {
                int count = from.getInputStream().read(buffer);
                awaitWhole();
                if (count < 0) break;
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One side has gone.
        }
        awaitWhole();
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is lost.
        }
    }
}
