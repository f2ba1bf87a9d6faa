import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud of PROTOCOL: rents, boots, lists and deletes machines. */
final class Cloud {
    static final class Type {
        final String sku;
        final double cpus;
        final double cards;
        final double memGb;
        final double localGb;
        final double fetchGbPerS;
        final double hourly;
        final double lowPrice;
        final double readyS;
        final List<String> zones;
        /** How many machines of each kind (ordinary or spot) a zone has. */
        final int ordinary;
        final int cheap;

        Type(String sku, double cpus, double memGb, double localGb, double fetchGbPerS, double hourly, double lowPrice, double readyS,
            List<String> zones, int ordinary, int cheap) {
            this(sku, cpus, 0, memGb, localGb, fetchGbPerS, hourly, lowPrice, readyS, zones, ordinary, cheap);
        }

        Type(String sku, double cpus, double cards, double memGb, double localGb, double fetchGbPerS, double hourly, double lowPrice, double readyS,
            List<String> zones, int ordinary, int cheap) {
            this.sku = sku;
            this.cpus = cpus;
            this.cards = cards;
            this.memGb = memGb;
            this.localGb = localGb;
            this.fetchGbPerS = fetchGbPerS;
            this.hourly = hourly;
            this.lowPrice = lowPrice;
            this.readyS = readyS;
            this.zones = zones;
            this.ordinary = ordinary;
            this.cheap = cheap;
        }
    }

    static final class Machine {
        String name;
        Type type;
        String zone;
        boolean spot;
        long rentedAt;
        long bootsAt;
        volatile Worker worker;
    }

    private final Lab lab;
    private final List<Type> types;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<Object>> rentals = new HashMap<>();
    private int lastNumber = 0;
    private int names = 0;
    final HttpServer server;
    /** The cloud answers 503 while true. */
    volatile boolean down;
    volatile long bootMs = 1500;
    /** So many of the next machines fail every task that they start. */
    volatile int sickNext;
    /** When the last request to rent machines arrived, and how many machines were rented. */
    volatile long lastRentAt = -1;
    volatile int rented;

    Cloud(Lab lab, List<Type> types) {
        this.lab = lab;
        this.types = types;
        server = Http.serve(this::handle);
    }

    synchronized int machineCount() {
        return machines.size();
    }

    synchronized List<Worker> workers() {
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : machines.values()) if (machine.worker != null) workers.add(machine.worker);
        return workers;
    }

    private Http.Answer handle(Http.Request request) {
        if (down) return new Http.Answer(503, "{\"error\":\"trouble\"}");
        if (request.path.equals("/machine_types")) return types();
        if (request.path.equals("/machines/delete")) return delete(request);
        if (request.method.equals("POST")) return rent(request);
        return list(request);
    }

    private Http.Answer types() {
        List<Object> hulls = new ArrayList<>();
        for (Type type : types) {
            hulls.add(Json.of("sku", type.sku, "vcpus", type.cpus, "cards", type.cards, "memGb", type.memGb, "localGb", type.localGb,
                "fetchGbPerS", type.fetchGbPerS, "hourly", type.hourly, "lowPrice", type.lowPrice, "readyS", type.readyS,
                "yards", type.zones));
        }
        return new Http.Answer(200, Json.write(Json.of("hulls", hulls)));
    }

    private synchronized Http.Answer rent(Http.Request request) {
        lastRentAt = Lab.now();
        Map<String, Object> body = Json.object(request.body);
        String charter = (String) body.get("charter");
        if (rentals.containsKey(charter)) return new Http.Answer(200, Json.write(Json.of("hosts", rentals.get(charter))));
        String zone = (String) body.get("yard");
        boolean spot = Boolean.TRUE.equals(body.get("loaners"));
        for (Type type : types) {
            if (!type.sku.equals(body.get("hull"))) continue;
            int used = 0;
            for (Machine machine : machines.values()) {
                if (machine.type == type && machine.zone.equals(zone) && machine.spot == spot) used++;
            }
            int count = Math.min(((Number) body.get("number")).intValue(), (spot ? type.cheap : type.ordinary) - used);
            if (count <= 0) return new Http.Answer(503, "{\"error\":\"no capacity\"}");
            List<Object> hosts = new ArrayList<>();
            for (int i = 0; i < count; i++) hosts.add(create(type, zone, spot).name);
            rentals.put(charter, hosts);
            lab.record("cloud", "rent", charter + " " + type.sku + " " + zone + (spot ? " spot" : "") + " -> " + hosts);
            return new Http.Answer(200, Json.write(Json.of("hosts", hosts)));
        }
        return new Http.Answer(400, "{}");
    }

    synchronized Machine create(Type type, String zone, boolean spot) {
        Machine machine = new Machine();
        machine.name = String.format("vm-%06d", ++names);
        machine.type = type;
        machine.zone = zone;
        machine.spot = spot;
        machine.rentedAt = Lab.now();
        machine.bootsAt = Lab.now() + bootMs;
        machines.put(machine.name, machine);
        rented++;
        boolean sick = sickNext > 0;
        if (sick) {
            sickNext--;
            lab.record("cloud", machine.name, "is a machine that fails every task that it starts");
        }
        Http.THREADS.execute(() -> {
            Lab.sleep(Math.max(0, machine.bootsAt - Lab.now()));
            synchronized (this) {
                if (!machines.containsKey(machine.name)) return;
                Worker worker = new Worker(lab, machine.name, type, zone, spot);
                worker.sick = sick;
                machine.worker = worker;
            }
        });
        return machine;
    }

    private Http.Answer delete(Http.Request request) {
        List<?> hosts = (List<?>) Json.object(request.body).get("hosts");
        lab.record("cloud", "delete", hosts.toString());
        for (Object host : hosts) remove((String) host, "machine deleted");
        return new Http.Answer(200, "{}");
    }

    synchronized void remove(String name, String reason) {
        Machine machine = machines.remove(name);
        if (machine != null && machine.worker != null) machine.worker.remove(reason);
    }

    private synchronized Http.Answer list(Http.Request request) {
        String from = request.query.get("from");
        List<Object> hosts = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (from != null && machine.name.compareTo(from) <= 0) continue;
            Worker worker = machine.worker;
            hosts.add(Json.of("nameId", machine.name, "address", worker == null ? null : worker.address(), "hull", machine.type.sku,
                "yard", machine.zone, "loaners", machine.spot, "status", worker == null ? "booting" : "running",
                "ageS", (Lab.now() - machine.rentedAt) / 1000.0));
        }
        return new Http.Answer(200, Json.write(Json.of("hosts", hosts, "truncated", false)));
    }
}
