import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the state service, by PROTOCOL, "Controller nodes -> state service". */
final class StateService {
    private record Entry(Object data, long stamp, Long hold) {}

    private record Change(String key, Object data, boolean isDelete, long stamp) {}

    private static final class Hold {
        long ttlMs;
        long endsAt;
    }

    private static final int KEPT_CHANGES = 10_000;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private long ledger = 0;
    private long nextHold = 1;

    StateService() {
        Http.THREADS.execute(this::expireHolds);
    }

    Http.Reply handle(Http.Request request) throws InterruptedException {
        String path = request.path();
        if (path.equals("/commit")) return commit(Json.object(Json.parse(request.body())));
        if (path.equals("/follow")) return follow(request);
        if (path.equals("/store")) return list(request);
        if (path.startsWith("/store/")) return get(path.substring("/store/".length()));
        if (path.equals("/holds")) return grant(Json.object(Json.parse(request.body())));
        if (path.endsWith("/renew")) return renew(Long.parseLong(path.substring("/holds/".length(), path.length() - "/renew".length())));
        if (path.startsWith("/holds/") && request.method().equals("DELETE")) return revoke(Long.parseLong(path.substring("/holds/".length())));
        return new Http.Reply(400, "{}");
    }

    /** Returns the value of [key], or null. */
    synchronized Object read(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.data;
    }

    private static Map<String, Object> body(String key, Entry entry) {
        Map<String, Object> body = Json.of("path", key, "data", entry.data, "stamp", entry.stamp);
        if (entry.hold != null) body.put("hold", entry.hold);
        return body;
    }

    private synchronized Http.Reply get(String key) {
        Entry entry = entries.get(key);
        return entry == null
            ? new Http.Reply(404, Json.write(Json.of("ledger", ledger)))
            : new Http.Reply(200, Json.write(body(key, entry)));
    }

    private synchronized Http.Reply list(Http.Request request) {
        String prefix = request.parameter("starts");
        String from = request.parameter("from");
        int page = Math.min(1000, Integer.parseInt(request.parameter("page")));
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean truncated = false;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (from != null && entry.getKey().compareTo(from) <= 0) continue;
            Map<String, Object> item = body(entry.getKey(), entry.getValue());
            bytes += Json.write(item).length() + 1;
            if (items.size() >= page || bytes > 512 * 1024) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        return new Http.Reply(200, Json.write(Json.of("items", items, "truncated", truncated, "ledger", ledger)));
    }

    private synchronized Http.Reply commit(Map<String, Object> request) {
        List<Object> writes = Json.list(request.get("writes"));
        for (Object write : writes) {
            Object hold = Json.object(write).get("hold");
            if (hold != null && !holds.containsKey(Json.number(hold))) return new Http.Reply(400, "{\"error\":\"no such lease\"}");
        }
        List<Object> failed = new ArrayList<>();
        for (Object condition : Json.list(request.get("if"))) {
            String key = (String) Json.object(condition).get("path");
            Entry entry = entries.get(key);
            if ((entry == null ? 0 : entry.stamp) != Json.number(Json.object(condition).get("stamp"))) failed.add(key);
        }
        if (!failed.isEmpty()) return new Http.Reply(409, Json.write(Json.of("failed", failed, "ledger", ledger)));
        if (!writes.isEmpty()) ledger++;
        for (Object write : writes) {
            Map<String, Object> fields = Json.object(write);
            if (fields.get("delete") != null) {
                delete((String) fields.get("delete"));
            } else {
                String key = (String) fields.get("write");
                Long hold = fields.get("hold") == null ? null : Json.number(fields.get("hold"));
                entries.put(key, new Entry(fields.get("data"), ledger, hold));
                keep(new Change(key, fields.get("data"), false, ledger));
            }
        }
        notifyAll();
        return new Http.Reply(200, Json.write(Json.of("ledger", ledger)));
    }

    private void delete(String key) {
        if (entries.remove(key) != null) keep(new Change(key, null, true, ledger));
    }

    private void keep(Change change) {
        changes.add(change);
        if (changes.size() > KEPT_CHANGES) changes.remove();
    }

    private synchronized Http.Reply follow(Http.Request request) throws InterruptedException {
        String prefix = request.parameter("starts");
        long from = Long.parseLong(request.parameter("from"));
        String wait = request.parameter("waitMs");
        long until = System.nanoTime() + (wait == null ? 0 : Math.min(60_000, Long.parseLong(wait))) * 1_000_000;
        while (true) {
            if (changes.size() >= KEPT_CHANGES && from + 1 < changes.peek().stamp) return new Http.Reply(410, "{}");
            List<Object> news = new ArrayList<>();
            for (Change change : changes) {
                if (change.stamp <= from || !change.key.startsWith(prefix)) continue;
                news.add(change.isDelete
                    ? Json.of("delete", change.key, "stamp", change.stamp)
                    : Json.of("write", change.key, "data", change.data, "stamp", change.stamp));
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!news.isEmpty() || leftMs <= 0) return new Http.Reply(200, Json.write(Json.of("ledger", ledger, "news", news)));
            wait(leftMs);
        }
    }

    private synchronized Http.Reply grant(Map<String, Object> request) {
        Hold hold = new Hold();
        hold.ttlMs = Json.number(request.get("ttlMs"));
        hold.endsAt = Rig.nowMs() + hold.ttlMs;
        holds.put(nextHold, hold);
        return new Http.Reply(200, Json.write(Json.of("hold", nextHold++)));
    }

    private synchronized Http.Reply renew(long id) {
        Hold hold = holds.get(id);
        if (hold == null) return new Http.Reply(404, "{}");
        hold.endsAt = Rig.nowMs() + hold.ttlMs;
        return new Http.Reply(200, Json.write(Json.of("hold", id)));
    }

    private synchronized Http.Reply revoke(long id) {
        end(id);
        return new Http.Reply(200, "{}");
    }

    private void end(long id) {
        if (holds.remove(id) == null) return;
        List<String> attached = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            if (entry.getValue().hold != null && entry.getValue().hold == id) attached.add(entry.getKey());
        }
        if (!attached.isEmpty()) ledger++;
        attached.forEach(this::delete);
        notifyAll();
    }

    private void expireHolds() {
        while (true) {
            Rig.pause(20);
            synchronized (this) {
                List<Long> ended = new ArrayList<>();
                for (Map.Entry<Long, Hold> hold : holds.entrySet()) if (Rig.nowMs() > hold.getValue().endsAt) ended.add(hold.getKey());
                ended.forEach(this::end);
            }
        }
    }
}
