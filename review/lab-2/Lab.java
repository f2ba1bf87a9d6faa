import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: the project's controllers as processes, started by the command of deploy/service.toml, among
 * stand-ins. Keeps the record of what was sent, answered and run.
 */
final class Lab implements AutoCloseable {
    /** A controller node: its addresses and its process. */
    static final class Node {
        String name;
        String zone;
        int publicPort;
        int peerPort;
        /** Hold the two ports until the process is first started. */
        final List<java.net.ServerSocket> reserved = new ArrayList<>();
        File settings;
        File log;
        Process process;
    }

    /** The settings that differ between sites. The defaults are those of the parking site's page. */
    static final class Site {
        List<String> zones = List.of("portofspain");
        double reportS = 1.5;
        double leaseS = 10;
        double cancelS = 40;
        double rps = 80;
        double writeRps = 30;
        double valueKb = 16;
        int txnOps = 24;
        double cloudRps = 5;
        double listLagS = 3;
        int maxConnections = 800;
        double clockOffMs = 1000;
        /** name, cpus, cpus_max, and gpus, gpus_max if there are any. */
        List<Object[]> teams = List.of(new Object[] {"collections", 48.0, 176.0}, new Object[] {"enforcement", 40.0, 96.0},
            new Object[] {"finance", 48.0, 144.0}, new Object[] {"appsupport", 48.0, 176.0});
        List<Cloud.Type> types = new ArrayList<>();

        /** The census site: its settings, with [ordinary] machines in each zone and no cheap ones. Machines are up within two seconds. */
        static Site census(int ordinary) {
            Site site = new Site();
            site.zones = List.of("rz-ost", "rz-linz");
            site.reportS = 2.5;
            site.leaseS = 14;
            site.cancelS = 44;
            site.rps = 250;
            site.writeRps = 40;
            site.valueKb = 8;
            site.txnOps = 16;
            site.listLagS = 10;
            site.maxConnections = 1800;
            site.clockOffMs = 25;
            site.teams = List.of(new Object[] {"erhebung", 0.0, 0.0}, new Object[] {"klassif", 0.0, 0.0}, new Object[] {"register", 0.0, 0.0},
                new Object[] {"regional", 0.0, 0.0}, new Object[] {"qualitaet", 0.0, 0.0});
            site.types.add(new Cloud.Type("rk-32", 32, 256, 50, 0.3, 2.28, 0.82, 50, site.zones, ordinary, 0));
            return site;
        }
    }

    private static final long START = System.nanoTime() / 1_000_000;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    final List<Node> nodes = new ArrayList<>();
    final long reportMs;
    final long leaseMs;
    final Site site;
    final StateService state;
    final Cloud cloud;
    /** The jobs that users have uploaded, by id. */
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    final Map<String, Double> runS = new ConcurrentHashMap<>();
    final Set<String> failing = ConcurrentHashMap.newKeySet();
    final Set<String> daemons = ConcurrentHashMap.newKeySet();
    /** Machines that each task is on, with the time of the start. */
    private final Map<String, Map<String, Long>> onMachines = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Set<String> done = new HashSet<>();
    /** When a user was told that the job is cancelled. */
    final Map<String, Long> cancelledAt = new ConcurrentHashMap<>();
    final List<String> broken = Collections.synchronizedList(new ArrayList<>());
    private final PrintWriter record;
    private final Path folder;
    private final List<String> command;
    private volatile boolean closed;

    static long now() {
        return System.nanoTime() / 1_000_000 - START;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    Lab(Site site, int nodeCount) throws IOException {
        this.site = site;
        reportMs = (long) (site.reportS * 1000);
        leaseMs = (long) (site.leaseS * 1000);
        record = new PrintWriter(System.getProperty("record", "record.txt"), StandardCharsets.UTF_8);
        folder = Files.createTempDirectory("mountmast-case");
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream().filter(line -> line.startsWith("run")).findFirst().get();
        command = new ArrayList<>(Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        if (!new File("target/mountmast.jar").isFile()) throw new IOException("target/mountmast.jar is not built");
        for (int i = 0; i < nodeCount; i++) {
            Node node = new Node();
            node.name = "mastnode-" + i;
            node.zone = site.zones.get(i % site.zones.size());
            node.reserved.add(Http.freePort());
            node.reserved.add(Http.freePort());
            node.publicPort = node.reserved.get(0).getLocalPort();
            node.peerPort = node.reserved.get(1).getLocalPort();
            nodes.add(node);
        }
        state = new StateService(nodeCount, site.rps, site.writeRps, site.valueKb, site.txnOps);
        cloud = new Cloud(this, site.types);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The port at which node [from] reaches the peer port of node [to]; replaced by a case that puts a proxy between them. */
    int peerPort(int from, int to) {
        return nodes.get(to).peerPort;
    }

    private String settings(int index) {
        Node node = nodes.get(index);
        StringBuilder out = new StringBuilder();
        out.append("node = \"").append(node.name).append("\"\nsite = \"").append(node.zone).append("\"\n");
        out.append("serve_on = \"127.0.0.1:").append(node.publicPort).append("\"\npeer_listen = \"127.0.0.1:").append(node.peerPort)
            .append("\"\n");
        for (int i = 0; i < nodes.size(); i++) {
            if (i == index) continue;
            out.append("[[members]]\nnode = \"").append(nodes.get(i).name).append("\"\nsite = \"").append(nodes.get(i).zone)
                .append("\"\nendpoint = \"127.0.0.1:").append(peerPort(index, i)).append("\"\n");
        }
        out.append("[endpoints]\ncloud = \"127.0.0.1:").append(cloud.server.getAddress().getPort()).append("\"\nstate = \"127.0.0.1:")
            .append(state.port(index)).append("\"\n");
        out.append("[deployment]\nsize = ").append(nodes.size()).append("\nclock_off_ms = ").append(site.clockOffMs).append("\n");
        for (Object[] team : site.teams) {
            out.append("[[deployment.teams]]\nname = \"").append(team[0]).append("\"\ncpus = ").append(team[1]).append("\ncpus_max = ")
                .append(team[2]).append("\ngpus = ").append(team.length > 3 ? team[3] : 0.0).append("\ngpus_max = ")
                .append(team.length > 4 ? team[4] : 0.0).append("\n");
        }
        out.append("[deployment.workers]\nreport_s = ").append(site.reportS).append("\nlease_s = ").append(site.leaseS)
            .append("\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = ").append(site.cancelS).append("\n");
        out.append("[deployment.state]\nrps = ").append(site.rps).append("\nwrite_rps = ").append(site.writeRps).append("\nvalue_kb = ")
            .append(site.valueKb).append("\ntxn_ops = ").append(site.txnOps).append("\n");
        out.append("[deployment.cloud]\nrps = ").append(site.cloudRps).append("\nlist_lag_s = ").append(site.listLagS).append("\n");
        out.append("[deployment.resources]\ncores = 0.085\nmem_mb = 181.0\nmax_connections = ").append(site.maxConnections).append("\n");
        return out.toString();
    }

    void start(int index) throws IOException {
        Node node = nodes.get(index);
        if (closed) return;
        if (node.settings == null) {
            node.settings = folder.resolve(node.name + ".toml").toFile();
            node.log = folder.resolve(node.name + ".log").toFile();
            Files.writeString(node.settings.toPath(), settings(index));
        }
        for (java.net.ServerSocket socket : node.reserved) socket.close();
        List<String> full = new ArrayList<>(command);
        full.add(node.settings.getPath());
        node.process = new ProcessBuilder(full).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(node.log)).start();
        record("node", node.name, "started");
    }

    void startAll() throws IOException {
        for (int i = 0; i < nodes.size(); i++) start(i);
    }

    void kill(int index) {
        Process process = nodes.get(index).process;
        if (process == null) return;
        signal(index, "CONT");
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        record("node", nodes.get(index).name, "killed");
    }

    void signal(int index, String signal) {
        Process process = nodes.get(index).process;
        if (process == null || !process.isAlive()) return;
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
        if (!closed) record("node", nodes.get(index).name, "signal " + signal);
    }

    int leader() {
        String leader = state.leader();
        for (int i = 0; i < nodes.size(); i++) if (nodes.get(i).name.equals(leader)) return i;
        return -1;
    }

    /** Waits until all nodes are ready and one leads; otherwise the case could not run. */
    void awaitReady(long timeoutMs) {
        long until = now() + timeoutMs;
        while (now() < until) {
            int ready = 0;
            for (Node node : nodes) {
                Http.Answer answer = Http.call("GET", node.publicPort, "/ready", null, 1000);
                if (answer != null && answer.status == 200) ready++;
            }
            if (ready == nodes.size() && leader() >= 0) {
                Http.Answer probe = Http.call("GET", nodes.get(0).publicPort, "/v1/jobs/j-999999", null, 2000);
                if (probe != null && probe.status == 404) {
                    record("lab", "ready", "leader " + nodes.get(leader()).name);
                    return;
                }
            }
            sleep(200);
        }
        throw new CannotRun("the deployment was not ready in " + timeoutMs + " ms");
    }

    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    synchronized void record(String who, String what, String text) {
        String line = String.format("%8.3f %s %s %s", now() / 1000.0, who, what, text);
        record.println(line);
        record.flush();
    }

    void breaks(String rule, String text) {
        String line = rule + ": " + text;
        broken.add(line);
        record("RULE", "broken", line);
    }

    /** A task is on its machine: it has its image and runs. */
    synchronized void started(String job, String task, String machine) {
        starts.merge(job, 1, Integer::sum);
        Map<String, Long> on = onMachines.computeIfAbsent(task, name -> new HashMap<>());
        record("worker", machine, "runs " + task);
        for (String other : on.keySet()) breaks("ran_twice", task + " starts on " + machine + " while it is on " + other);
        on.put(machine, now());
        Long cancelled = cancelledAt.get(job);
        if (cancelled != null && now() - cancelled > site.cancelS * 1000) {
            breaks("ran_cancelled", task + " starts " + (now() - cancelled) + " ms after its user was told that the job is cancelled");
        }
    }

    synchronized void ended(String job, String task, String machine, String cause) {
        Map<String, Long> on = onMachines.get(task);
        if (on != null) on.remove(machine);
        if (cause.equals("done")) done.add(task);
        record("worker", machine, "ends " + task + ": " + cause);
        Long cancelled = cancelledAt.get(job);
        if (cancelled != null && now() - cancelled > site.cancelS * 1000 + 100) {
            breaks("ran_cancelled", task + " ends " + (now() - cancelled) + " ms after its user was told that the job is cancelled");
        }
    }

    synchronized int starts(String job) {
        return starts.getOrDefault(job, 0);
    }

    synchronized int doneTasks(String job) {
        int count = 0;
        for (String task : done) if (task.startsWith(job + "/")) count++;
        return count;
    }

    synchronized int onMachines(String job) {
        int count = 0;
        for (Map.Entry<String, Map<String, Long>> entry : onMachines.entrySet()) {
            if (entry.getKey().startsWith(job + "/")) count += entry.getValue().size();
        }
        return count;
    }

    /** Returns the fields of a job; [changes] are pairs of names and values that replace the defaults. */
    static Map<String, Object> job(String id, Object... changes) {
        Map<String, Object> job = Json.of("nameId", id, "jobclass", "wardenlist", "owner", "collections", "shape", "array", "urgency", "high",
            "pieces", 2, "vcpus", 2.0, "cards", 0.0, "memGb", 6.0, "bundle", "img-1", "sizeGb", 0.2, "hulls", null, "yard", null,
            "together", false, "scatter", false, "loaners", true, "expectedS", 10.0, "markEveryS", 0.0, "markCostS", 0.0, "dueS", null);
        for (int i = 0; i < changes.length; i += 2) job.put((String) changes[i], changes[i + 1]);
        return job;
    }

    Http.Answer submit(int node, Map<String, Object> job) {
        jobs.put((String) job.get("nameId"), job);
        if ("daemon".equals(job.get("shape"))) daemons.add((String) job.get("nameId"));
        return call("POST", node, "/v1/jobs", Json.write(job), 5000);
    }

    /** Submits as users do: again after a second or more, for up to 60 s, at one node after another. Returns whether it was accepted. */
    boolean submitUntilAccepted(int first, Map<String, Object> job) {
        long until = now() + 60_000;
        for (int i = 0; now() < until; i++) {
            Http.Answer answer = submit((first + i) % nodes.size(), job);
            if (answer != null && (answer.status == 200 || answer.status == 201)) return true;
            if (answer != null && (answer.status == 400 || answer.status == 422)) return false;
            sleep(1000);
        }
        return false;
    }

    Http.Answer poll(int node, String job) {
        return call("GET", node, "/v1/jobs/" + job, null, 2000);
    }

    Http.Answer cancel(int node, String job) {
        Http.Answer answer = call("POST", node, "/v1/jobs/" + job + "/cancel", "", 5000);
        if (answer != null && answer.status == 200 && "cancelled".equals(answer.json().get("status"))) {
            cancelledAt.putIfAbsent(job, now());
        }
        return answer;
    }

    Http.Answer call(String method, int node, String path, String body, int timeoutMs) {
        long from = now();
        Http.Answer answer = Http.call(method, nodes.get(node).publicPort, path, body, timeoutMs);
        String sent = body == null || body.isEmpty() ? "" : " " + (body.length() > 300 ? body.substring(0, 300) + "... (" + body.length() + " bytes)" : body);
        record("user", nodes.get(node).name, method + " " + path + sent + " -> "
            + (answer == null ? "no answer" : answer.status + " " + answer.body) + " after " + (now() - from) + " ms");
        return answer;
    }

    String status(Http.Answer answer) {
        if (answer == null || answer.status != 200) return null;
        return (String) answer.json().get("status");
    }

    List<String> logLines(int index, String part) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(nodes.get(index).log.toPath())) if (line.contains(part)) found.add(line);
        return found;
    }

    @Override
    public void close() {
        synchronized (this) {
            if (closed) return;
            closed = true;
        }
        for (int i = 0; i < nodes.size(); i++) {
            Process process = nodes.get(i).process;
            if (process == null) continue;
            signal(i, "CONT");
            process.destroyForcibly();
        }
        String keep = System.getenv("KEEP_LOGS");
        File[] files = folder.toFile().listFiles();
        if (keep == null) {
            if (files != null) for (File file : files) file.delete();
            folder.toFile().delete();
        } else {
            System.out.println("logs: " + folder);
        }
    }

    interface Case {
        void run() throws Exception;
    }

    /** Runs a case to its exit code: 1 if a rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(List<String> broken, Case test) {
        Thread watchdog = new Thread(() -> {
            // END_S, set by hand alone, lets a case wait longer than the 120 s of a script.
            String end = System.getenv("END_S");
            sleep(end == null ? 118_000 : Long.parseLong(end) * 1000 + 20_000);
            System.out.println("cannot run: not over in time");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        try {
            test.run();
            code = broken.isEmpty() ? 0 : 1;
        } catch (Throwable e) {
            System.out.println("cannot run: " + e);
            if (!(e instanceof CannotRun)) e.printStackTrace(System.out);
            code = 2;
        }
        for (String line : broken) System.out.println("broken " + line);
        System.out.println(code == 1 ? "BROKEN" : code == 0 ? "held" : "cannot run");
        System.out.flush();
        System.exit(code);
    }
}
