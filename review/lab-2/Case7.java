import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A team without guaranteed GPUs, which may use up to eight, submits a job that needs one. The cloud has machines with GPUs. */
final class Case7 {
    public static void main(String[] args) {
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        Lab.main(broken, () -> run(broken));
    }

    private static void run(List<String> broken) throws Exception {
        long endMs = System.getenv("END_S") == null ? 110_000 : Long.parseLong(System.getenv("END_S")) * 1000;
        Lab.Site site = new Lab.Site();
        // The machine type and, below, the amounts of PROTOCOL's own example.
        site.types.add(new Cloud.Type("g8", 96, 8, 768, 200, 1.0, 12.0, 4.5, 2, site.zones, 4, 4));
        site.teams = List.of(new Object[] {"vision", 48.0, 176.0, 0.0, 8.0}, new Object[] {"finance", 48.0, 144.0, 0.0, 0.0});
        Lab lab = new Lab(site, 3);
        lab.startAll();
        lab.awaitReady(40_000);
        if (!lab.submitUntilAccepted(0, Lab.job("j-000412", "jobclass", "train", "owner", "vision", "pieces", 2, "vcpus", 8.0,
            "cards", Lab.TROUBLE ? 1.0 : 0.0, "memGb", 64.0, "hulls", List.of("g8"), "expectedS", 5.0))) {
            throw new Lab.CannotRun("the job was not accepted");
        }
        long accepted = Lab.now();
        boolean done = false;
        while (Lab.now() < endMs && !done) {
            Lab.sleep(5000);
            done = "done".equals(lab.status(lab.poll(lab.nodes.size() - 1, "j-000412")));
        }
        lab.record("lab", "end", "job done " + done + " after " + (Lab.now() - accepted) + " ms; starts of its tasks: " + lab.starts("j-000412")
            + "; machines rented in all: " + lab.cloud.rented + "; requests to rent: " + (lab.cloud.lastRentAt < 0 ? "none" : "some"));
        broken.addAll(lab.broken);
        if (done) return;
        if (lab.starts("j-000412") > 0 || lab.cloud.lastRentAt >= 0) throw new Lab.CannotRun("the job is not done, but the service is at it");
        broken.add("nothing_ran; An accepted job must run: no task of the only job, j-000412, was started, and no machine was asked for, in "
            + (Lab.now() - accepted) + " ms since it was accepted, although the cloud has 8 machines that fit and the team is under its limit");
    }
}
