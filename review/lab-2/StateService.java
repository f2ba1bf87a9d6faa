import com.sun.net.httpserver.HttpServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL: keys with revisions, leases, watches and the limits of the settings. Serves each node at a port of its own. */
final class StateService {
    /** What a node's requests meet. HANG: no answer, not carried out. */
    enum Link { OK, REFUSED, HANG }

    private static final class Value {
        Object data;
        String text;
        long stamp;
        long hold;
    }

    private static final class Change {
        String key;
        Object data;
        long stamp;
    }

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    private static final class Bucket {
        final double rate;
        double tokens;
        long at = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            tokens = rate;
        }

        boolean take(int count) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + (now - at) / 1e9 * rate);
            at = now;
            if (count > tokens && !(count > rate && tokens >= rate)) return false;
            tokens -= count;
            return true;
        }
    }

    private final TreeMap<String, Value> values = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int txnOps;
    private long ledger = 1;
    private long droppedUpTo = 0;
    private long lastLease = 0;
    final Link[] links;
    final HttpServer[] servers;
    /** Milliseconds before each answer to a node. */
    final int[] delayMs;

    StateService(int nodes, double rps, double writeRps, double valueKb, int txnOps) {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        links = new Link[nodes];
        servers = new HttpServer[nodes];
        delayMs = new int[nodes];
        for (int i = 0; i < nodes; i++) {
            int node = i;
            links[i] = Link.OK;
            servers[i] = Http.serve(request -> handle(node, request));
        }
    }

    int port(int node) {
        return servers[node].getAddress().getPort();
    }

    private Http.Answer handle(int node, Http.Request request) throws Exception {
        if (links[node] == Link.HANG) {
            Thread.sleep(8000);
            return null;
        }
        if (links[node] == Link.REFUSED) return new Http.Answer(503, "{\"error\":\"trouble\"}");
        if (delayMs[node] > 0) Thread.sleep(delayMs[node]);
        synchronized (this) {
            if (!requests.take(1)) return new Http.Answer(429, "{}");
        }
        String path = request.path;
        if (path.equals("/follow")) return follow(node, request);
        synchronized (this) {
            expire();
            if (path.equals("/commit")) return commit(request);
            if (path.equals("/holds")) return grant(request);
            if (path.startsWith("/holds/")) return lease(request);
            if (path.equals("/store")) return list(request);
            if (path.startsWith("/store/")) return get(path.substring(7));
        }
        return new Http.Answer(400, "{}");
    }

    private void expire() {
        long now = System.nanoTime() / 1_000_000;
        List<Long> ended = new ArrayList<>();
        for (Map.Entry<Long, Lease> lease : leases.entrySet()) if (now > lease.getValue().endsAt) ended.add(lease.getKey());
        ended.forEach(this::end);
    }

    private void end(long id) {
        if (leases.remove(id) == null) return;
        List<String> keys = new ArrayList<>();
        for (Map.Entry<String, Value> entry : values.entrySet()) if (entry.getValue().hold == id) keys.add(entry.getKey());
        if (keys.isEmpty()) return;
        ledger++;
        for (String key : keys) delete(key);
        notifyAll();
    }

    private void delete(String key) {
        if (values.remove(key) == null) return;
        record(key, null);
    }

    private void record(String key, Object data) {
        Change change = new Change();
        change.key = key;
        change.data = data;
        change.stamp = ledger;
        changes.addLast(change);
        while (changes.size() > 10_000) droppedUpTo = changes.removeFirst().stamp;
    }

    private Http.Answer grant(Http.Request request) {
        Lease lease = new Lease();
        lease.ttlMs = ((Number) Json.object(request.body).get("ttlMs")).longValue();
        lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMs;
        leases.put(++lastLease, lease);
        return new Http.Answer(200, "{\"hold\":" + lastLease + "}");
    }

    private Http.Answer lease(Http.Request request) {
        String[] parts = request.path.split("/");
        long id = Long.parseLong(parts[2]);
        if (request.method.equals("DELETE")) {
            end(id);
            return new Http.Answer(200, "{}");
        }
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{}");
        lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMs;
        return new Http.Answer(200, "{}");
    }

    private Map<String, Object> entry(String key, Value value) {
        Map<String, Object> entry = Json.of("path", key, "data", value.data, "stamp", value.stamp);
        if (value.hold != 0) entry.put("hold", value.hold);
        return entry;
    }

    private Http.Answer get(String key) {
        Value value = values.get(key);
        if (value == null) return new Http.Answer(404, "{\"ledger\":" + ledger + "}");
        return new Http.Answer(200, Json.write(entry(key, value)));
    }

    private Http.Answer list(Http.Request request) {
        String prefix = request.query.getOrDefault("starts", "");
        String from = request.query.get("from");
        int limit = Math.min(1000, Integer.parseInt(request.query.getOrDefault("page", "1000")));
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Value> entry : values.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (from != null && entry.getKey().compareTo(from) <= 0) continue;
            bytes += entry.getValue().text.length() + 100;
            if (items.size() >= limit || (bytes > 500 * 1024 && !items.isEmpty())) {
                truncated = true;
                break;
            }
            items.add(entry(entry.getKey(), entry.getValue()));
        }
        return new Http.Answer(200, Json.write(Json.of("items", items, "truncated", truncated, "ledger", ledger)));
    }

    @SuppressWarnings("unchecked")
    private Http.Answer commit(Http.Request request) {
        if (request.bodyBytes > Http.MAX_BODY) return new Http.Answer(400, "{\"error\":\"too large\"}");
        Map<String, Object> body = Json.object(request.body);
        List<Object> conditions = (List<Object>) body.getOrDefault("if", List.of());
        List<Object> puts = (List<Object>) body.getOrDefault("writes", List.of());
        if (puts.size() > txnOps || conditions.size() > 4 * txnOps) return new Http.Answer(400, "{\"error\":\"too large\"}");
        for (Object put : puts) {
            Map<String, Object> write = (Map<String, Object>) put;
            if (!write.containsKey("write")) continue;
            if (Json.write(write.get("data")).getBytes(java.nio.charset.StandardCharsets.UTF_8).length > valueBytes) {
                return new Http.Answer(400, "{\"error\":\"value too large\"}");
            }
            Object hold = write.get("hold");
            if (hold != null && !leases.containsKey(((Number) hold).longValue())) return new Http.Answer(400, "{\"error\":\"no such lease\"}");
        }
        if (!puts.isEmpty() && !writes.take(puts.size())) return new Http.Answer(429, "{}");
        List<Object> failed = new ArrayList<>();
        for (Object condition : conditions) {
            Map<String, Object> compare = (Map<String, Object>) condition;
            Value value = values.get((String) compare.get("path"));
            long stamp = compare.get("stamp") == null ? 0 : ((Number) compare.get("stamp")).longValue();
            if ((value == null ? 0 : value.stamp) != stamp) failed.add(compare.get("path"));
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Json.write(Json.of("failed", failed, "ledger", ledger)));
        if (puts.isEmpty()) return new Http.Answer(200, "{\"ledger\":" + ledger + "}");
        ledger++;
        for (Object put : puts) {
            Map<String, Object> write = (Map<String, Object>) put;
            if (!write.containsKey("write")) {
                delete((String) write.get("delete"));
                continue;
            }
            Value value = new Value();
            value.data = write.get("data");
            value.text = Json.write(value.data);
            value.stamp = ledger;
            value.hold = write.get("hold") == null ? 0 : ((Number) write.get("hold")).longValue();
            values.put((String) write.get("write"), value);
            record((String) write.get("write"), value.data);
        }
        notifyAll();
        return new Http.Answer(200, "{\"ledger\":" + ledger + "}");
    }

    private Http.Answer follow(int node, Http.Request request) throws InterruptedException {
        String prefix = request.query.getOrDefault("starts", "");
        long from = Long.parseLong(request.query.get("from"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(request.query.getOrDefault("waitMs", "0"));
        synchronized (this) {
            while (true) {
                expire();
                if (from < droppedUpTo) return new Http.Answer(410, "{}");
                List<Object> news = new ArrayList<>();
                if (links[node] == Link.OK) {
                    for (Change change : changes) {
                        if (change.stamp <= from || !change.key.startsWith(prefix)) continue;
                        news.add(change.data == null
                            ? Json.of("delete", change.key, "stamp", change.stamp)
                            : Json.of("write", change.key, "data", change.data, "stamp", change.stamp));
                    }
                }
                long left = until - System.nanoTime() / 1_000_000;
                // An open watch waits while the node is refused.
                if (!news.isEmpty() || (left <= 0 && links[node] == Link.OK)) {
                    return new Http.Answer(200, Json.write(Json.of("ledger", ledger, "news", news)));
                }
                wait(Math.max(1, Math.min(50, left)));
            }
        }
    }

    /** The leader's node by its key, for the record and to choose a target; null if there is none. */
    synchronized String leader() {
        expire();
        Value value = values.get("lead");
        return value == null ? null : (String) ((Map<?, ?>) value.data).get("node");
    }
}
