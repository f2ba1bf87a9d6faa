import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** One machine's worker, as PROTOCOL describes it. All state is guarded by the monitor of this object. */
final class Worker {
    static final class Task {
        String name;
        Object attempt;
        String job;
        String image;
        double cpus;
        double cards;
        double memGb;
        boolean saves;
        double saveS;
        double runS;
        String state;
        String cause;
        boolean stored;
        long endsAt;
        boolean fails;
    }

    private final Lab lab;
    final String name;
    final Cloud.Type type;
    final String zone;
    final boolean spot;
    final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<String> completed = new HashSet<>();
    private long session = 1;
    private long tally = 0;
    private long token = 0;
    private long renewedAt = Lab.now();
    private long nextReportAt = 0;
    private long lastReportAt = 0;
    private boolean changed;
    private boolean inFlight;
    private int target;
    volatile boolean alive = true;
    /** Reports reach no controller and commands do not reach the worker until then. */
    volatile long cutUntil;
    /** The machine does nothing until then. */
    volatile long hangUntil;
    /** Direct commands do not reach the worker until then. */
    volatile long deafUntil;
    /** The machine fails every task that it starts. */
    volatile boolean sick;
    int lineOverflows;
    int bodyOverflows;

    Worker(Lab lab, String name, Cloud.Type type, String zone, boolean spot) {
        this.lab = lab;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        target = ThreadLocalRandom.current().nextInt(lab.nodes.size());
        server = Http.serve(this::handle);
        Http.THREADS.execute(this::live);
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void live() {
        while (alive) {
            try {
                if (Lab.now() >= hangUntil) step();
                Thread.sleep(40);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void step() {
        String report = null;
        long sentAt = Lab.now();
        long sentIn = 0;
        synchronized (this) {
            long now = Lab.now();
            if (now - renewedAt > lab.leaseMs) loseLease();
            advance(now);
            boolean due = now >= nextReportAt || (changed && now - lastReportAt >= 500);
            if (due && !inFlight) {
                inFlight = true;
                changed = false;
                lastReportAt = now;
                nextReportAt = now + lab.reportMs * ThreadLocalRandom.current().nextInt(75, 126) / 100;
                report = report();
                sentIn = session;
            }
        }
        if (report == null) return;
        String body = report;
        long session = sentIn;
        Http.THREADS.execute(() -> send(body, sentAt, session));
    }

    private void send(String body, long sentAt, long sentIn) {
        int node = target;
        Http.Answer answer = null;
        if (Lab.now() >= cutUntil) answer = Http.call("POST", lab.nodes.get(node).publicPort, "/agent/beat", body, 4000);
        while (Lab.now() < hangUntil && alive) Lab.sleep(20);
        synchronized (this) {
            inFlight = false;
            if (!alive) return;
            long now = Lab.now();
            if (answer == null || now < cutUntil || now - sentAt > 4000) {
                nextNode();
                return;
            }
            if (answer.status == 421) {
                int next = -1;
                try {
                    Object bridge = answer.json().get("bridge");
                    for (int i = 0; i < lab.nodes.size(); i++) if (lab.nodes.get(i).name.equals(bridge)) next = i;
                } catch (RuntimeException e) {
                    // A node that was killed while it answered.
                }
                if (next < 0 || next == node) {
                    nextNode();
                } else {
                    target = next;
                    nextReportAt = now + ThreadLocalRandom.current().nextInt(500);
                }
                return;
            }
            if (answer.status != 200) {
                if (answer.status == 400) lab.record("worker", name, "report of " + body.length() + " bytes answered 400");
                nextNode();
                return;
            }
            int longest = 0;
            for (String line : answer.body.split("\n")) longest = Math.max(longest, line.length());
            if (longest > Http.MAX_BODY) {
                // PROTOCOL: no line in a response to workers may exceed 64 KiB.
                lineOverflows++;
                lab.record("worker", name, "response with a line of " + longest + " bytes, over 64 KiB: not usable");
                nextNode();
                return;
            }
            Map<String, Object> response;
            try {
                response = answer.json();
            } catch (RuntimeException e) {
                nextNode();
                return;
            }
            long helm = response.get("helm") == null ? -1 : ((Number) response.get("helm")).longValue();
            if (sentIn != session || helm < token) return;
            if (helm > token) changed = true;
            token = helm;
            renewedAt = sentAt;
            execute((List<?>) response.get("orders"));
        }
    }

    private void nextNode() {
        target = (target + 1) % lab.nodes.size();
        nextReportAt = Lab.now() + 1000;
    }

    private synchronized String report() {
        tally++;
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = Json.of("piece", task.name, "try", task.attempt, "status", task.state);
            if (task.cause != null) piece.put("cause", task.cause);
            if (task.stored) piece.put("stored", true);
            pieces.add(piece);
        }
        return Json.write(Json.of("host", name, "address", address(), "hull", type.sku, "yard", zone, "loaners", spot,
            "watch", session, "tally", tally, "helm", token, "recallS", null, "pieces", pieces));
    }

    private Http.Answer handle(Http.Request request) throws InterruptedException {
        if (!alive || Lab.now() < cutUntil || Lab.now() < deafUntil) {
            Thread.sleep(3000);
            return null;
        }
        while (Lab.now() < hangUntil && alive) Thread.sleep(20);
        if (request.path.equals("/show")) return new Http.Answer(200, report());
        if (request.bodyBytes > Http.MAX_BODY) {
            // PROTOCOL: a request body may hold at most 64 KiB.
            synchronized (this) {
                bodyOverflows++;
            }
            lab.record("worker", name, "/orders with a body of " + request.bodyBytes + " bytes, over 64 KiB: refused");
            return new Http.Answer(400, "{\"error\":\"body over 64 KiB\"}");
        }
        Map<String, Object> body = Json.object(request.body);
        if (body.get("helm") == null || body.get("watch") == null) return new Http.Answer(400, "{}");
        synchronized (this) {
            long helm = ((Number) body.get("helm")).longValue();
            if (helm < token || ((Number) body.get("watch")).longValue() != session) return new Http.Answer(409, report());
            if (helm > token) changed = true;
            token = helm;
            execute((List<?>) body.get("orders"));
            return new Http.Answer(200, report());
        }
    }

    private void execute(List<?> orders) {
        if (orders == null) return;
        for (Object order : orders) {
            Map<?, ?> command = (Map<?, ?>) order;
            String piece = (String) command.get("piece");
            String key = piece + "#" + command.get("try");
            Task task = tasks.get(key);
            switch ((String) command.get("verb")) {
                case "start":
                    if (task == null) start(key, piece, command.get("try"));
                    break;
                case "kill":
                    Object windDown = command.get("windDownS");
                    if (task != null) kill(task, windDown == null ? 0 : ((Number) windDown).doubleValue());
                    break;
                case "forget":
                    if (task != null && task.state.equals("exited")) tasks.remove(key);
                    break;
                default:
            }
        }
    }

    private void start(String key, String piece, Object attempt) {
        changed = true;
        Task task = new Task();
        task.name = piece;
        task.attempt = attempt;
        task.job = piece.substring(0, piece.indexOf('/'));
        Map<String, Object> spec = lab.jobs.get(task.job);
        String refusal = null;
        if (spec == null || Integer.parseInt(piece.substring(piece.indexOf('/') + 1)) >= ((Number) spec.get("pieces")).intValue()) {
            refusal = "no_such";
        } else {
            task.cpus = ((Number) spec.get("vcpus")).doubleValue();
            task.cards = ((Number) spec.get("cards")).doubleValue();
            task.memGb = ((Number) spec.get("memGb")).doubleValue();
            task.image = (String) spec.get("bundle");
            task.saves = ((Number) spec.get("markEveryS")).doubleValue() > 0;
            task.saveS = ((Number) spec.get("markCostS")).doubleValue();
            task.runS = lab.runS.getOrDefault(task.job, ((Number) spec.get("expectedS")).doubleValue());
            task.fails = lab.failing.contains(task.job);
            double cpus = task.cpus;
            double cards = task.cards;
            double memGb = task.memGb;
            for (Task other : tasks.values()) {
                if (other.state.equals("exited")) continue;
                if (other.name.equals(piece)) refusal = "in_use";
                cpus += other.cpus;
                cards += other.cards;
                memGb += other.memGb;
            }
            if (refusal == null && (cpus > type.cpus + 1e-6 || cards > type.cards + 1e-6 || memGb > type.memGb + 1e-6)) refusal = "full";
        }
        tasks.put(key, task);
        if (refusal != null) {
            task.state = "exited";
            task.cause = refusal;
            lab.record("worker", name, "start of " + piece + " try " + attempt + " refused: " + refusal);
            return;
        }
        task.state = "pulling";
        double sizeGb = ((Number) spec.get("sizeGb")).doubleValue();
        task.endsAt = images.contains(task.image) ? 0 : Lab.now() + (long) (1000 * sizeGb / type.fetchGbPerS);
        if (task.endsAt <= Lab.now()) run(task);
    }

    private void run(Task task) {
        images.add(task.image);
        changed = true;
        if (completed.contains(task.name)) {
            task.state = "exited";
            task.cause = "done";
            return;
        }
        task.state = "running";
        task.endsAt = Lab.now() + (long) (1000 * task.runS);
        lab.started(task.job, task.name, name);
        if (sick || task.fails) exit(task, "error");
    }

    private void exit(Task task, String cause) {
        boolean onMachine = !task.state.equals("pulling");
        task.state = "exited";
        task.cause = cause;
        changed = true;
        if (cause.equals("done")) completed.add(task.name);
        if (onMachine) lab.ended(task.job, task.name, name, cause);
    }

    private void kill(Task task, double windDownS) {
        if (task.state.equals("exited")) return;
        if (task.state.equals("running") && task.saves && windDownS >= task.saveS && windDownS > 0) {
            task.state = "flushing";
            task.endsAt = Lab.now() + (long) (1000 * task.saveS);
            changed = true;
        } else if (!(task.state.equals("flushing") && windDownS > 0)) {
            exit(task, "halted");
        }
    }

    private void advance(long now) {
        for (Task task : tasks.values()) {
            if (task.state.equals("exited") || now < task.endsAt) continue;
            if (task.state.equals("pulling")) {
                run(task);
            } else if (task.state.equals("flushing")) {
                task.stored = true;
                exit(task, "halted");
            } else if (!lab.daemons.contains(task.job)) {
                exit(task, "done");
            }
        }
    }

    private void loseLease() {
        int lost = 0;
        for (Task task : tasks.values()) {
            if (task.state.equals("exited")) continue;
            lost++;
            if (!task.state.equals("pulling")) lab.ended(task.job, task.name, name, "lease over");
        }
        lab.record("worker", name, "lease over: session " + session + " ends, " + lost + " tasks killed");
        tasks.clear();
        session++;
        renewedAt = Lab.now();
        changed = true;
    }

    /** The machine is gone, with all that is on it. */
    synchronized void remove(String reason) {
        if (!alive) return;
        alive = false;
        for (Task task : tasks.values()) {
            if (!task.state.equals("exited") && !task.state.equals("pulling")) lab.ended(task.job, task.name, name, reason);
        }
        server.stop(0);
    }

    synchronized int running(String job) {
        int count = 0;
        for (Task task : tasks.values()) if (task.job.equals(job) && task.state.equals("running")) count++;
        return count;
    }

    synchronized double freeCpus() {
        double free = type.cpus;
        for (Task task : tasks.values()) if (!task.state.equals("exited")) free -= task.cpus;
        return free;
    }

    synchronized int onMachine() {
        int count = 0;
        for (Task task : tasks.values()) if (!task.state.equals("exited")) count++;
        return count;
    }
}
