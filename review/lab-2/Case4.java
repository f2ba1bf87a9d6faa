import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Users submit malformed bodies: lists nested within lists, never closed. Each is repeated as PROTOCOL says while it gets no answer. */
final class Case4 {
    private static final int USERS = 240;
    private static final int DEPTH = 5000;

    public static void main(String[] args) {
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        Lab.main(broken, () -> run(broken));
    }

    private static void run(List<String> broken) throws Exception {
        Lab.Site site = new Lab.Site();
        site.types.add(new Cloud.Type("smallbox", 4, 16, 50, 0.5, 0.28, 0.1, 2, site.zones, 10, 10));
        Lab lab = new Lab(site, 3);
        lab.startAll();
        lab.awaitReady(40_000);
        // A job whose tasks run throughout, to show what becomes of accepted work.
        if (!lab.submitUntilAccepted(0, Lab.job("j-000001", "pieces", 4, "expectedS", 500.0))) throw new Lab.CannotRun("job not accepted");
        for (int i = 0; i < 60 && lab.onMachines("j-000001") < 4; i++) Lab.sleep(250);
        if (lab.onMachines("j-000001") < 4) throw new Lab.CannotRun("the tasks did not start");

        // Without the trouble the body is as long, and as malformed, but flat.
        String body = Lab.TROUBLE ? "[".repeat(DEPTH) : "[" + "0,".repeat((DEPTH - 1) / 2);
        long from = Lab.now();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger malformed = new AtomicInteger();
        AtomicInteger otherwise = new AtomicInteger();
        List<Thread> users = new ArrayList<>();
        for (int u = 0; u < USERS; u++) {
            int user = u;
            Thread thread = new Thread(() -> {
                Lab.sleep(user * 5L);
                // PROTOCOL: no response within 5 s: retried after 1 s or more, for up to 60 s in total; 400 is not retried.
                long until = Lab.now() + 59_000;
                for (int i = 0; Lab.now() < until; i++) {
                    sent.incrementAndGet();
                    int node = (user + i) % 3;
                    Http.Answer answer = Http.call("POST", lab.nodes.get(node).publicPort, "/v1/jobs", body, 5000);
                    if (answer == null) unanswered.incrementAndGet();
                    else if (answer.status == 400) malformed.incrementAndGet();
                    else otherwise.incrementAndGet();
                    if (user < 3) {
                        lab.record("user", lab.nodes.get(node).name, "POST /v1/jobs (" + body.length() + " bytes, " + body.substring(0, 8)
                            + "...) -> " + (answer == null ? "no answer in 5 s" : answer.status + " " + answer.body));
                    }
                    if (answer != null && answer.status == 400) return;
                    Lab.sleep(1000);
                }
            });
            thread.setDaemon(true);
            users.add(thread);
            thread.start();
        }
        for (Thread thread : users) thread.join();
        lab.record("user", "all", USERS + " malformed submissions, " + sent + " requests: " + malformed + " answered 400, " + otherwise
            + " answered otherwise, " + unanswered + " not answered in 5 s, over " + (Lab.now() - from) + " ms");
        if (malformed.get() + otherwise.get() == 0) {
            broken.add("400: none of " + sent + " requests with a malformed body was answered");
        }

        // The malformed requests are over, and their users have closed their connections. A sound user asks now.
        int answers = 0;
        int asked = 0;
        long until = Lab.now() + 20_000;
        while (Lab.now() < until) {
            for (int node = 0; node < 3; node++) {
                Http.Answer answer = lab.poll(node, "j-000001");
                asked++;
                if (answer != null && answer.status == 200) answers++;
            }
            Lab.sleep(1500);
        }
        lab.record("user", "all", answers + " of " + asked + " polls of the accepted job got 200; its tasks on machines: "
            + lab.onMachines("j-000001"));
        if (answers == 0) {
            broken.add("hang: after the malformed requests no node answers any of " + asked + " polls in 20 s; all three processes "
                + (lab.nodes.stream().allMatch(node -> node.process.isAlive()) ? "still run" : "do not run") + ", and "
                + lab.onMachines("j-000001") + " of 4 tasks of the accepted job are left on machines");
        }
    }
}
