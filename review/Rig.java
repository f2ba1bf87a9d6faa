import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** One small deployment on loopback: three controller processes, and stand-ins for the state service, the cloud and the workers. */
final class Rig {
    /** The settings of the deployment that a case runs. */
    record Site(
        String nodePrefix, List<String> zones, double reportS, double leaseS, double cancelS, double clockOffMs, double stateRps,
        double writeRps, double valueKb, int txnOps, double cloudRps, double listLagS, int maxConnections, List<Map<String, Object>> teams,
        List<Map<String, Object>> hulls, Map<String, Integer> capacity) {}

    static final int NODES = 3;
    private static final long STARTED_NS = System.nanoTime();
    private static BufferedWriter record;

    final Site site;
    final StateService state = new StateService();
    final Fleet fleet;
    final Jobs jobs = new Jobs();
    final int[] publicPorts = new int[NODES];
    final int[] peerPorts = new int[NODES];

    /** The links from each controller to the state service, and between each two controllers: peerLinks[from][to]. */
    final Link[] stateLinks = new Link[NODES];
    final Link[][] peerLinks = new Link[NODES][NODES];
    private final Process[] processes = new Process[NODES];
    private final Path folder;
    private final List<String> runCommand;

    Rig(Site site, Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        this.site = site;
        folder = Files.createTempDirectory("mountmast-review");
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream().filter(line -> line.startsWith("run")).findFirst().orElseThrow();
        runCommand = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        fleet = new Fleet(this);
        int statePort = Http.serve(state::handle);
        int cloudPort = Http.serve(fleet::handle);
        for (int node = 0; node < NODES; node++) {
            publicPorts[node] = freePort();
            peerPorts[node] = freePort();
        }
        for (int node = 0; node < NODES; node++) {
            stateLinks[node] = new Link(statePort);
            for (int other = 0; other < NODES; other++) if (other != node) peerLinks[node][other] = new Link(peerPorts[other]);
        }
        for (int node = 0; node < NODES; node++) Files.writeString(folder.resolve("node-" + node + ".toml"), settings(node, cloudPort));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    String nodeName(int node) {
        return site.nodePrefix + "-" + node;
    }

    private String settings(int node, int cloudPort) {
        StringBuilder text = new StringBuilder();
        text.append("node = \"").append(nodeName(node)).append("\"\nsite = \"").append(site.zones.get(node % site.zones.size())).append("\"\n");
        text.append("serve_on = \"127.0.0.1:").append(publicPorts[node]).append("\"\npeer_listen = \"127.0.0.1:").append(peerPorts[node]).append("\"\n");
        for (int other = 0; other < NODES; other++) {
            if (other == node) continue;
            text.append("[[members]]\nnode = \"").append(nodeName(other)).append("\"\nsite = \"").append(site.zones.get(other % site.zones.size()))
                .append("\"\nendpoint = \"127.0.0.1:").append(peerLinks[node][other].port).append("\"\n");
        }
        text.append("[endpoints]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\nstate = \"127.0.0.1:").append(stateLinks[node].port).append("\"\n");
        text.append("[deployment]\nsize = ").append(NODES).append("\nclock_off_ms = ").append(site.clockOffMs).append("\n");
        for (Map<String, Object> team : site.teams) {
            text.append("[[deployment.teams]]\n");
            team.forEach((name, value) -> text.append(name).append(" = ").append(Json.write(value)).append("\n"));
        }
        text.append("[deployment.workers]\nreport_s = ").append(site.reportS).append("\nlease_s = ").append(site.leaseS)
            .append("\ncancel_s = ").append(site.cancelS).append("\n");
        text.append("[deployment.state]\nrps = ").append(site.stateRps).append("\nwrite_rps = ").append(site.writeRps)
            .append("\nvalue_kb = ").append(site.valueKb).append("\ntxn_ops = ").append(site.txnOps).append("\n");
        text.append("[deployment.cloud]\nrps = ").append(site.cloudRps).append("\nlist_lag_s = ").append(site.listLagS).append("\n");
        text.append("[deployment.resources]\nmax_connections = ").append(site.maxConnections).append("\n");
        return text.toString();
    }

    static long nowMs() {
        return (System.nanoTime() - STARTED_NS) / 1_000_000;
    }

    /** Writes one line to record.txt. */
    static void note(String line) {
        synchronized (Rig.class) {
            try {
                record.write(String.format("%8.3f %s%n", nowMs() / 1000.0, line));
                record.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts the process of [node] with the command of the deploy file. */
    void start(int node) {
        List<String> command = new ArrayList<>(runCommand);
        command.add(folder.resolve("node-" + node + ".toml").toString());
        try {
            processes[node] = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("node-" + node + ".log").toFile())).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        note("controller " + nodeName(node) + " started, process " + processes[node].pid());
    }

    /** Ends the process of [node] without a signal that it could handle. */
    void kill(int node) {
        processes[node].destroyForcibly();
        try {
            processes[node].waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        note("controller " + nodeName(node) + " killed");
    }

    boolean isRunning(int node) {
        return processes[node].isAlive();
    }

    /** Returns the node that the state service names as the leader, or -1. For the choice of the disruption only, not for the check. */
    int leader() {
        Object value = state.read("lead");
        if (value == null) return -1;
        String text = Json.write(value);
        for (int node = 0; node < NODES; node++) if (text.contains("\"" + nodeName(node) + "\"")) return node;
        return -1;
    }

    boolean isReady(int node) {
        try {
            return Http.once(publicPorts[node], "GET", "/ready", "", 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts all controllers and waits until all are ready; ends with 2 if they are not ready in [withinS] seconds. */
    void startAll(int withinS) {
        for (int node = 0; node < NODES; node++) start(node);
        for (int node = 0; node < NODES; node++) {
            int waiting = node;
            await("controller " + nodeName(node) + " is ready", withinS, () -> isReady(waiting));
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits for [condition]; the case could not run if that takes longer than [withinS] seconds. */
    void await(String what, double withinS, Condition condition) {
        long until = nowMs() + (long) (withinS * 1000);
        while (nowMs() < until) {
            try {
                if (condition.holds()) {
                    note(what);
                    return;
                }
            } catch (Exception e) {
                // Asked again.
            }
            pause(50);
        }
        end(2, "could not run: not in time: " + what);
    }

    /** Ends the case: all processes are ended, and the exit code is [code]. */
    void end(int code, String why) {
        note("result " + code + ": " + why);
        System.out.println("result " + code + ": " + why);
        System.exit(code);
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    private void close() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs are in " + folder);
            return;
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }

    /** The jobs that users have submitted, as the workers fetch them, with the true run time of their tasks. */
    static final class Jobs {
        record Job(Map<String, Object> fields, double runS) {
            double vcpus() {
                return Json.decimal(fields.get("vcpus"));
            }

            double memGb() {
                return Json.decimal(fields.get("memGb"));
            }

            int pieces() {
                return ((Number) fields.get("pieces")).intValue();
            }
        }

        private final Map<String, Job> jobs = new ConcurrentHashMap<>();

        void put(Map<String, Object> fields, double runS) {
            jobs.put((String) fields.get("nameId"), new Job(fields, runS));
        }

        Job get(String id) {
            return jobs.get(id);
        }
    }

    /** Returns the submission of an array job without a deadline. */
    static Map<String, Object> job(String id, String jobclass, String owner, int pieces, double vcpus, double memGb, double expectedS) {
        return Json.of("nameId", id, "jobclass", jobclass, "owner", owner, "shape", "array", "urgency", "normal", "pieces", pieces,
            "vcpus", vcpus, "cards", 0.0, "memGb", memGb, "bundle", "img-01", "sizeGb", 0.3, "hulls", null, "yard", null, "together", false,
            "scatter", false, "loaners", false, "expectedS", expectedS, "markEveryS", 0.0, "markCostS", 0.0, "dueS", null);
    }
}
