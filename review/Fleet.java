import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the cloud, by PROTOCOL, "Controller nodes -> cloud". It rents machines, each with a [Worker]. */
final class Fleet {
    private static final class Machine {
        String host;
        String hull;
        String yard;
        boolean loaners;
        long rentedAt;
        long upAt;
        Worker worker;
    }

    private final Rig rig;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<Object>> answers = new LinkedHashMap<>();
    private int rented = 230;

    /** Decides whether a machine fails every task; told the number of machines rented before it. */
    volatile java.util.function.IntPredicate isFaulty = number -> false;

    Fleet(Rig rig) {
        this.rig = rig;
    }

    Http.Reply handle(Http.Request request) {
        String path = request.path();
        if (path.equals("/machine_types")) return new Http.Reply(200, Json.write(Json.of("hulls", rig.site.hulls())));
        if (path.equals("/machines/delete")) return delete(Json.object(Json.parse(request.body())));
        if (request.method().equals("POST")) return rent(Json.object(Json.parse(request.body())));
        return list(request);
    }

    private Map<String, Object> hull(String sku) {
        for (Map<String, Object> hull : rig.site.hulls()) if (hull.get("sku").equals(sku)) return hull;
        return null;
    }

    private synchronized Http.Reply rent(Map<String, Object> request) {
        String charter = (String) request.get("charter");
        if (answers.containsKey(charter)) return new Http.Reply(200, Json.write(Json.of("hosts", answers.get(charter))));
        String sku = (String) request.get("hull");
        String yard = (String) request.get("yard");
        boolean loaners = Boolean.TRUE.equals(request.get("loaners"));
        String kind = sku + "/" + yard + "/" + (loaners ? "spot" : "ordinary");
        long used = machines.values().stream().filter(m -> (m.hull + "/" + m.yard + "/" + (m.loaners ? "spot" : "ordinary")).equals(kind)).count();
        long number = Math.min(Json.number(request.get("number")), rig.site.capacity().getOrDefault(kind, 0) - used);
        if (number <= 0) return new Http.Reply(503, "{\"error\":\"no capacity\"}");
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Machine machine = new Machine();
            int index = rented - 230;
            machine.host = String.format("vm-%06d", ++rented);
            machine.hull = sku;
            machine.yard = yard;
            machine.loaners = loaners;
            machine.rentedAt = Rig.nowMs();
            // At times machines are up within a second or two.
            machine.upAt = machine.rentedAt + 1500;
            machine.worker = new Worker(rig, machine.host, hull(sku), yard, loaners);
            machine.worker.failsTasks = isFaulty.test(index);
            machines.put(machine.host, machine);
            hosts.add(machine.host);
            Rig.note("cloud rents " + machine.host + " " + kind);
            Http.THREADS.execute(() -> {
                Rig.pause(1500);
                machine.worker.begin();
            });
        }
        answers.put(charter, hosts);
        return new Http.Reply(200, Json.write(Json.of("hosts", hosts)));
    }

    private synchronized Http.Reply delete(Map<String, Object> request) {
        for (Object host : Json.list(request.get("hosts"))) {
            Machine machine = machines.remove((String) host);
            if (machine == null) continue;
            Rig.note("cloud deletes " + host);
            machine.worker.end();
        }
        return new Http.Reply(200, "{}");
    }

    private synchronized Http.Reply list(Http.Request request) {
        String from = request.parameter("from");
        List<Object> hosts = new ArrayList<>();
        long describedAt = Rig.nowMs() - (long) (rig.site.listLagS() * 1000);
        for (Machine machine : machines.values()) {
            if ((from != null && machine.host.compareTo(from) <= 0) || machine.rentedAt > describedAt) continue;
            hosts.add(Json.of("nameId", machine.host, "address", machine.worker.address(), "hull", machine.hull, "yard", machine.yard,
                "loaners", machine.loaners, "status", machine.upAt > describedAt ? "booting" : "running",
                "ageS", (describedAt - machine.rentedAt) / 1000.0));
        }
        return new Http.Reply(200, Json.write(Json.of("hosts", hosts, "truncated", false)));
    }

    synchronized List<Worker> workers() {
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : machines.values()) workers.add(machine.worker);
        return workers;
    }
}
