import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A repeat of a request to /orders that was carried out, after a controller's end and long after the job was cancelled. */
public final class Case1 {
    private static final String JOB = "j-000412";
    private static final String OTHER = "j-000413";

    public static void main(String[] args) throws Exception {
        Rig.Site site = Sites.statamt();
        Rig rig = new Rig(site, Path.of(args[0]));
        rig.startAll(20);
        submit(rig, Rig.job(OTHER, "beruf", "klassif", 1, 1.0, 4.0, 300.0), 600);
        submit(rig, Rig.job(JOB, "plausi", "qualitaet", 100, 0.25, 0.9, 300.0), 600);
        rig.await("100 tasks of " + JOB + " are on machines", 30, () -> running(rig, JOB) == 100);
        Rig.pause(4000);
        Http.Reply reply = Http.once(rig.publicPorts[1], "POST", "/v1/jobs/" + JOB + "/cancel", "", 5000);
        long toldAt = Rig.nowMs();
        Rig.note("user cancels " + JOB + ": " + reply.status() + " " + reply.body());
        if (reply.status() != 200 || !reply.body().contains("\"cancelled\"")) rig.end(2, "could not run: the job was not cancelled");
        rig.await("no task of " + JOB + " is on a machine", site.cancelS(), () -> running(rig, JOB) == 0);
        long lateFrom = toldAt + (long) (site.cancelS() * 1000);
        while (Rig.nowMs() < lateFrom + 1000) Rig.pause(50);
        Rig.note("cancel_s has passed since the user was told that " + JOB + " is cancelled");
        if (Rig.hasTrouble()) crashAndRepeat(rig);
        long until = Rig.nowMs() + 10_000;
        while (Rig.nowMs() < until) Rig.pause(100);
        int broken = 0;
        synchronized (Worker.EVENTS) {
            for (Worker.Event event : Worker.EVENTS) {
                if (event.isStart() && event.piece().startsWith(JOB + "/") && event.atMs() > lateFrom) broken++;
            }
        }
        if (broken > 0) rig.end(1, "ran_cancelled: " + broken + " tasks of " + JOB + " started more than cancel_s after its user was told");
        rig.end(0, "no task of " + JOB + " started or was on a machine more than cancel_s after its user was told");
    }

    /** Ends the leader and starts it again 4 s later; after its end, one request of its own that was carried out arrives once more. */
    private static void crashAndRepeat(Rig rig) throws IOException {
        int leader = rig.leader();
        Worker worker = null;
        Worker.Orders repeated = null;
        for (Worker candidate : rig.fleet.workers()) {
            for (Worker.Orders orders : candidate.ordersCarriedOut()) {
                long starts = orders.starts().stream().filter(piece -> piece.startsWith(JOB + "/")).count();
                if (starts > 0) {
                    worker = candidate;
                    repeated = orders;
                }
            }
        }
        if (leader < 0 || repeated == null) {
            rig.end(2, "could not run: there is no leader, or no start of the job was sent to /orders");
            return;
        }
        rig.kill(leader);
        Rig.note("the request to /orders that " + worker.host + " carried out at " + repeated.atMs() / 1000.0 + " s arrives once more");
        Http.Reply reply = Http.once(worker.port(), "POST", "/orders", repeated.body(), 4000);
        Rig.note(worker.host + " answers the repeated request with " + reply.status());
        Http.THREADS.execute(() -> {
            Rig.pause(4000);
            rig.start(leader);
        });
    }

    private static long running(Rig rig, String job) {
        return rig.fleet.workers().stream().mapToLong(worker -> worker.running(job)).sum();
    }

    private static void submit(Rig rig, Map<String, Object> job, double runS) {
        rig.jobs.put(job, runS);
        rig.await("job " + job.get("nameId") + " is accepted", 20, () -> {
            Http.Reply reply = Http.once(rig.publicPorts[0], "POST", "/v1/jobs", Json.write(job), 5000);
            Rig.note("user submits " + job.get("nameId") + ": " + reply.status() + " " + reply.body());
            if (reply.status() != 201 && reply.status() != 200) Rig.pause(1000);
            return reply.status() == 201 || reply.status() == 200;
        });
    }
}
