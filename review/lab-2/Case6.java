import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A sound job meets three machines that fail every task that they start. The cloud has sound machines left. */
final class Case6 {
    private static final int SICK = Lab.TROUBLE ? 3 : 0;
    /** At the end the service must have asked for no machine for so long, with none rented: it has given the job up. */
    private static final long IDLE_MS = 30_000;

    public static void main(String[] args) {
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        Lab.main(broken, () -> run(broken));
    }

    private static void run(List<String> broken) throws Exception {
        long endMs = System.getenv("END_S") == null ? 110_000 : Long.parseLong(System.getenv("END_S")) * 1000;
        Lab.Site site = Lab.Site.census(10);
        Lab lab = new Lab(site, 3);
        lab.cloud.sickNext = SICK;
        lab.startAll();
        lab.awaitReady(40_000);
        if (!lab.submitUntilAccepted(0, Lab.job("j-000001", "jobclass", "plausi", "owner", "regional", "pieces", 14,
            "vcpus", 1.0, "memGb", 6.2, "sizeGb", 1.5, "expectedS", 40.0, "dueS", 120.0))) {
            throw new Lab.CannotRun("the job was not accepted");
        }
        long accepted = Lab.now();
        boolean done = false;
        while (Lab.now() < endMs && !done) {
            Lab.sleep(5000);
            done = "done".equals(lab.status(lab.poll(lab.nodes.size() - 1, "j-000001")));
        }
        long quiet = Lab.now() - lab.cloud.lastRentAt;
        lab.record("lab", "end", "job done " + done + " after " + (Lab.now() - accepted) + " ms; its 14 tasks were started " + lab.starts("j-000001")
            + " times; " + lab.cloud.rented + " machines were rented in all, " + lab.cloud.machineCount() + " are rented now; last request to rent "
            + quiet + " ms ago");
        broken.addAll(lab.broken);
        if (done) return;
        if (lab.starts("j-000001") < 14 * SICK || lab.cloud.machineCount() > 0 || quiet < IDLE_MS) {
            throw new Lab.CannotRun("the job is not done, but the service may still be at it");
        }
        broken.add("An accepted job must run: j-000001 is not done " + (Lab.now() - accepted) + " ms after it was accepted. Its tasks failed on "
            + SICK + " machines that fail every task; these were returned, no machine is rented, and none was asked for in "
            + quiet + " ms, although the cloud has sound ones and nothing else runs");
    }
}
