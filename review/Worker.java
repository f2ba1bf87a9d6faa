import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A stand-in for a worker, by PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers". */
final class Worker {
    /** A start of a task on a machine, or the end of the task there. */
    record Event(long atMs, String host, String piece, long attempt, boolean isStart, String cause) {}

    /** A request to /orders that this worker carried out. */
    record Orders(long atMs, String body, List<String> starts) {}

    static final List<Event> EVENTS = new ArrayList<>();

    private static final class Task {
        String piece;
        Object attempt;
        String status;
        String cause;
        long endsAt;
        Rig.Jobs.Job job;
    }

    private final Rig rig;
    final String host;
    private final Map<String, Object> hull;
    private final String yard;
    private final boolean loaners;
    private final Random random = new Random();
    private final int port;
    volatile boolean failsTasks;
    private volatile boolean ended;

    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Long> imageReadyAt = new HashMap<>();
    private final Set<String> results = new HashSet<>();
    private final List<Orders> carriedOut = new ArrayList<>();
    private long watch = 1;
    private long tally = 0;
    private java.math.BigDecimal helm = java.math.BigDecimal.ZERO;
    private long renewedAt;
    private boolean changed;
    private int target;
    private Http.Connection connection;
    private int connectedTo = -1;

    Worker(Rig rig, String host, Map<String, Object> hull, String yard, boolean loaners) {
        this.rig = rig;
        this.host = host;
        this.hull = hull;
        this.yard = yard;
        this.loaners = loaners;
        try {
            port = Http.serve(this::handle);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    int port() {
        return port;
    }

    void begin() {
        if (ended) return;
        synchronized (this) {
            renewedAt = Rig.nowMs();
            target = random.nextInt(Rig.NODES);
        }
        Http.THREADS.execute(this::live);
        Http.THREADS.execute(this::report);
        Rig.note(host + " is up");
    }

    synchronized void end() {
        ended = true;
        for (Task task : tasks.values()) if (isOnMachine(task)) log(task, false, "machine gone");
        tasks.clear();
    }

    /** The requests to /orders that were carried out and held a start. */
    synchronized List<Orders> ordersCarriedOut() {
        return new ArrayList<>(carriedOut);
    }

    /** How many tasks of [job] are on this machine. */
    synchronized long running(String job) {
        return tasks.values().stream().filter(t -> isOnMachine(t) && t.piece.startsWith(job + "/")).count();
    }

    /** How many tasks the worker knows, in any state. */
    synchronized long known(String job) {
        return tasks.values().stream().filter(t -> t.piece.startsWith(job + "/")).count();
    }

    private static boolean isOnMachine(Task task) {
        return task.status.equals("running") || task.status.equals("flushing");
    }

    private void log(Task task, boolean isStart, String cause) {
        long attempt = ((java.math.BigDecimal) task.attempt).longValueExact();
        synchronized (EVENTS) {
            EVENTS.add(new Event(Rig.nowMs(), host, task.piece, attempt, isStart, cause));
        }
        Rig.note(host + (isStart ? " starts " : " ends ") + task.piece + " try " + attempt + (isStart ? "" : " " + cause));
    }

    private void live() {
        while (!ended) {
            step();
            Rig.pause(20);
        }
    }

    private synchronized void step() {
        long now = Rig.nowMs();
        if (now - renewedAt > rig.site.leaseS() * 1000) {
            Rig.note(host + " lease expired in session " + watch + ", " + tasks.size() + " tasks killed and forgotten");
            for (Task task : tasks.values()) if (isOnMachine(task)) log(task, false, "lease expired");
            tasks.clear();
            watch++;
            renewedAt = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.status.equals("pulling") && imageReadyAt.get((String) task.job.fields().get("bundle")) <= now) run(task, now);
            else if (task.status.equals("running") && task.endsAt <= now) exit(task, failsTasks ? "error" : "done");
        }
    }

    private void run(Task task, long now) {
        changed = true;
        if (results.contains(task.piece)) {
            task.status = "exited";
            task.cause = "done";
            return;
        }
        task.status = "running";
        task.endsAt = now + (failsTasks ? 500 : (long) (task.job.runS() * 1000));
        log(task, true, null);
    }

    private void exit(Task task, String cause) {
        if (isOnMachine(task)) log(task, false, cause);
        task.status = "exited";
        task.cause = cause;
        changed = true;
        if (cause.equals("done")) results.add(task.piece);
    }

    private Map<String, Object> message() {
        tally++;
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = Json.of("piece", task.piece, "try", task.attempt, "status", task.status);
            if (task.cause != null) piece.put("cause", task.cause);
            pieces.add(piece);
        }
        return Json.of("host", host, "address", address(), "hull", hull.get("sku"), "yard", yard, "loaners", loaners, "watch", watch,
            "tally", tally, "helm", helm, "recallS", null, "pieces", pieces);
    }

    private Http.Reply handle(Http.Request request) {
        if (ended) return new Http.Reply(503, "");
        if (request.path().equals("/show")) synchronized (this) {
            return new Http.Reply(200, Json.write(message()));
        }
        if (!request.path().equals("/orders") || request.body().isEmpty()) return new Http.Reply(400, "{}");
        return orders(request.body());
    }

    private synchronized Http.Reply orders(String body) {
        Map<String, Object> request = Json.object(Json.parse(body));
        if (request.get("helm") == null || request.get("watch") == null) return new Http.Reply(400, "{}");
        java.math.BigDecimal token = (java.math.BigDecimal) request.get("helm");
        List<String> verbs = new ArrayList<>();
        List<String> starts = new ArrayList<>();
        for (Object order : Json.list(request.get("orders"))) {
            Map<String, Object> fields = Json.object(order);
            verbs.add(fields.get("verb") + " " + fields.get("piece") + " try " + fields.get("try"));
            if (fields.get("verb").equals("start")) starts.add((String) fields.get("piece"));
        }
        if (token.compareTo(helm) < 0 || Json.number(request.get("watch")) != watch) {
            Rig.note(host + " refuses orders with token " + token + " (seen " + helm + "), session " + request.get("watch") + ": " + verbs);
            return new Http.Reply(409, Json.write(message()));
        }
        Rig.note(host + " carries out orders with token " + token + ": " + verbs);
        if (body.length() > 64 * 1024) Rig.note(host + " got a request to /orders of " + body.length() + " bytes");
        if (!starts.isEmpty()) carriedOut.add(new Orders(Rig.nowMs(), body, starts));
        see(token);
        Json.list(request.get("orders")).forEach(order -> execute(Json.object(order)));
        return new Http.Reply(200, Json.write(message()));
    }

    private void see(java.math.BigDecimal token) {
        if (token.compareTo(helm) <= 0) return;
        helm = token;
        changed = true;
    }

    private void execute(Map<String, Object> order) {
        String piece = (String) order.get("piece");
        Object attempt = order.get("try");
        Task known = tasks.get(piece + " " + attempt);
        switch ((String) order.get("verb")) {
            case "start" -> {
                if (known == null) start(piece, attempt);
            }
            case "kill" -> {
                // No job of these cases has checkpoints: the task exits at once.
                if (known != null && !known.status.equals("exited")) exit(known, "halted");
            }
            case "forget" -> {
                if (known != null && known.status.equals("exited")) {
                    tasks.remove(piece + " " + attempt);
                    changed = true;
                }
            }
            default -> throw new IllegalArgumentException("verb");
        }
    }

    private void start(String piece, Object attempt) {
        Task task = new Task();
        task.piece = piece;
        task.attempt = attempt;
        task.job = rig.jobs.get(piece.substring(0, piece.indexOf('/')));
        double vcpus = 0;
        double memGb = 0;
        boolean inUse = false;
        for (Task other : tasks.values()) {
            if (other.status.equals("exited")) continue;
            vcpus += other.job.vcpus();
            memGb += other.job.memGb();
            inUse |= other.piece.equals(piece);
        }
        tasks.put(piece + " " + attempt, task);
        changed = true;
        task.status = "exited";
        if (task.job == null) task.cause = "no_such";
        else if (inUse) task.cause = "in_use";
        else if (vcpus + task.job.vcpus() > Json.decimal(hull.get("vcpus")) + 1e-6
            || memGb + task.job.memGb() > Json.decimal(hull.get("memGb")) + 1e-6) task.cause = "full";
        if (task.cause != null) {
            Rig.note(host + " refuses start of " + piece + " try " + attempt + ": " + task.cause);
            return;
        }
        task.status = "pulling";
        double fetchS = Json.decimal(task.job.fields().get("sizeGb")) / Json.decimal(hull.get("fetchGbPerS"));
        imageReadyAt.putIfAbsent((String) task.job.fields().get("bundle"), Rig.nowMs() + (long) (fetchS * 1000));
        if (imageReadyAt.get((String) task.job.fields().get("bundle")) <= Rig.nowMs()) run(task, Rig.nowMs());
    }

    private void report() {
        while (!ended) {
            long sentAt = Rig.nowMs();
            long session;
            String body;
            synchronized (this) {
                session = watch;
                changed = false;
                body = Json.write(message());
            }
            long pauseMs = (long) (rig.site.reportS() * 1000 * (0.75 + 0.5 * random.nextDouble()));
            pauseMs = send(body, sentAt, session, pauseMs);
            long least = Rig.nowMs() + 500;
            long until = Rig.nowMs() + pauseMs;
            boolean mayHurry = pauseMs > 1000;
            while (!ended && Rig.nowMs() < until) {
                if (mayHurry && changed && Rig.nowMs() >= least) break;
                Rig.pause(10);
            }
        }
        if (connection != null) connection.close();
    }

    /** Sends one report; returns after how many milliseconds the next one is due. */
    private long send(String body, long sentAt, long session, long pauseMs) {
        if (body.length() > 64 * 1024) {
            // "A request body may hold at most 64 KiB": the worker cannot send this report; it has to list all of its tasks.
            Rig.note(host + " cannot send its report of " + body.length() + " bytes");
            return 1000;
        }
        try {
            if (connection == null || !connection.isOpen() || connectedTo != target) {
                if (connection != null) connection.close();
                connection = new Http.Connection(rig.publicPorts[target], 1000);
                connectedTo = target;
            }
            Http.Reply reply = connection.call("POST", "/agent/beat", body, 4000);
            if (reply.status() == 200) {
                if (reply.body().length() > 64 * 1024) Rig.note(host + " got a line of " + reply.body().length() + " bytes in an answer");
                answer(Json.object(Json.parse(reply.body())), sentAt, session);
                return pauseMs;
            }
            if (reply.status() == 421) {
                Object bridge = Json.object(Json.parse(reply.body())).get("bridge");
                for (int node = 0; node < Rig.NODES; node++) {
                    if (node == target || !rig.nodeName(node).equals(bridge)) continue;
                    target = node;
                    return random.nextInt(500);
                }
            }
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            if (connection != null) connection.close();
        }
        target = (target + 1) % Rig.NODES;
        return 1000;
    }

    private synchronized void answer(Map<String, Object> answer, long sentAt, long session) {
        if (ended || session != watch || answer.get("helm") == null) return;
        java.math.BigDecimal token = (java.math.BigDecimal) answer.get("helm");
        if (token.compareTo(helm) < 0) return;
        see(token);
        renewedAt = sentAt;
        List<Object> orders = Json.list(answer.get("orders"));
        if (!orders.isEmpty()) {
            Map<String, Integer> counts = new java.util.TreeMap<>();
            for (Object order : orders) counts.merge((String) Json.object(order).get("verb"), 1, Integer::sum);
            Rig.note(host + " gets orders in the answer to its report, token " + token + ": " + counts);
        }
        orders.forEach(order -> execute(Json.object(order)));
    }
}
