import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for the users' load balancer, by PROTOCOL, "Users -> controller nodes". */
final class Balancer {
    private static final class Node {
        int index;
        int port;
        boolean healthy;
        boolean everHealthy;
        long unhealthySince;
        long mayReturnAt;
        int successes;
        int failures;
        int refusals;
        long passedOverUntil;
        long newlyHealthyAt = -100_000;
        final ArrayDeque<Boolean> lastProbes = new ArrayDeque<>();
        final ArrayDeque<Long> removals = new ArrayDeque<>();
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        int connections;
    }

    final int port;
    private final Rig rig;
    private final List<Node> nodes = new ArrayList<>();

    Balancer(Rig rig) throws IOException {
        this.rig = rig;
        for (int i = 0; i < Rig.NODES; i++) {
            Node node = new Node();
            node.index = i;
            node.port = rig.publicPorts[i];
            nodes.add(node);
            Http.THREADS.execute(() -> probe(node));
        }
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

    synchronized boolean areAllHealthy() {
        return nodes.stream().allMatch(node -> node.healthy);
    }

    /** Returns the node that serves the connection of the client on [clientPort], or -1. */
    synchronized int nodeOf(int clientPort) {
        for (Node node : nodes) for (Socket socket : node.open) if (socket.getPort() == clientPort) return node.index;
        return -1;
    }

    private void probe(Node node) {
        while (true) {
            long at = Rig.nowMs();
            boolean ok;
            try {
                ok = Http.once(node.port, "GET", "/ready", "", 1000).status() == 200;
            } catch (IOException | RuntimeException e) {
                ok = false;
            }
            judge(node, ok);
            Rig.pause(Math.max(1, at + 1000 - Rig.nowMs()));
        }
    }

    private synchronized void judge(Node node, boolean ok) {
        long now = Rig.nowMs();
        node.lastProbes.add(ok);
        if (node.lastProbes.size() > 6) node.lastProbes.remove();
        node.successes = ok ? node.successes + 1 : 0;
        node.failures = ok ? 0 : node.failures + 1;
        if (node.healthy) {
            long failed = node.lastProbes.stream().filter(success -> !success).count();
            if (node.failures < 2 && failed < 3) return;
            node.healthy = false;
            node.unhealthySince = now;
            while (!node.removals.isEmpty() && now - node.removals.peek() > 120_000) node.removals.remove();
            node.mayReturnAt = now + Math.min(60_000, 3000L << Math.min(10, node.removals.size()));
            node.removals.add(now);
            Rig.note("load balancer: " + rig.nodeName(node.index) + " is unhealthy");
        } else if (node.successes >= (node.everHealthy ? 2 : 1) && now >= node.mayReturnAt) {
            node.healthy = true;
            node.everHealthy = true;
            node.newlyHealthyAt = now;
            node.lastProbes.clear();
            Rig.note("load balancer: " + rig.nodeName(node.index) + " is healthy");
        } else if (now - node.unhealthySince > 5000 && !node.open.isEmpty()) {
            Rig.note("load balancer: resets " + node.open.size() + " connections of " + rig.nodeName(node.index));
            for (Socket socket : node.open) close(socket);
            node.open.clear();
        }
    }

    /** Returns the healthy node with the fewest open connections among those not in [tried], or null. */
    private synchronized Node pick(Set<Node> tried) {
        Node best = null;
        for (Node node : nodes) {
            if (!node.healthy || tried.contains(node) || Rig.nowMs() < node.passedOverUntil) continue;
            if (best == null || load(node) < load(best)) best = node;
        }
        if (best != null) best.connections++;
        return best;
    }

    /** The open connections of [node]; a newly healthy node is raised to its share over 10 s. */
    private double load(Node node) {
        double share = Math.min(1, Math.max(0.1, (Rig.nowMs() - node.newlyHealthyAt) / 10_000.0));
        return (node.connections + 1) / share;
    }

    private void connect(Socket client) {
        Set<Node> tried = new java.util.HashSet<>();
        while (tried.size() < 3) {
            Node node = pick(tried);
            if (node == null) break;
            tried.add(node);
            try {
                Socket server = new Socket();
                server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), 500);
                node.refusals = 0;
                node.open.add(client);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Http.THREADS.execute(() -> copy(server, client, node, false));
                copy(client, server, node, true);
                return;
            } catch (IOException e) {
                synchronized (this) {
                    node.connections--;
                    if (++node.refusals >= 3) node.passedOverUntil = Rig.nowMs() + 3000;
                }
            }
        }
        close(client);
    }

    private void copy(Socket from, Socket to, Node node, boolean isClient) {
        byte[] buffer = new byte[16 * 1024];
        try {
            for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream().read(buffer)) {
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One side has gone.
        }
        close(from);
        close(to);
        if (!isClient) return;
        synchronized (this) {
            node.open.remove(from);
            node.connections--;
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is lost.
        }
    }
}
