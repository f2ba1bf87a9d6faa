import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Three machines fail every task that they start for some seconds, in which a service starts a replica on each of them. */
final class Case8 {
    public static void main(String[] args) {
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        Lab.main(broken, () -> run(broken));
    }

    private static void run(List<String> broken) throws Exception {
        Lab lab = new Lab(Lab.Site.census(10), 3);
        lab.startAll();
        lab.awaitReady(40_000);
        // Three tasks of which no two fit one machine keep three machines up; each has 15 CPUs to spare.
        if (!lab.submitUntilAccepted(0, Lab.job("j-000001", "jobclass", "scan", "owner", "erhebung", "urgency", "normal", "pieces", 3,
            "vcpus", 17.0, "memGb", 79.0, "expectedS", 500.0))) {
            throw new Lab.CannotRun("the first job was not accepted");
        }
        for (int i = 0; i < 80 && lab.onMachines("j-000001") < 3; i++) Lab.sleep(100);
        if (lab.onMachines("j-000001") < 3) throw new Lab.CannotRun("the first job's tasks did not start");
        Lab.sleep(1000);
        List<Worker> workers = lab.cloud.workers();
        if (Lab.TROUBLE) {
            for (Worker worker : workers) worker.sick = true;
            lab.record("lab", "trouble", workers.size() + " machines fail every task that they start");
        }
        if (!lab.submitUntilAccepted(1, Lab.job("j-000002", "jobclass", "portal", "owner", "regional", "shape", "daemon", "urgency", "high",
            "pieces", 3, "vcpus", 15.0, "memGb", 60.0, "expectedS", 0.0))) {
            throw new Lab.CannotRun("the service was not accepted");
        }
        for (int i = 0; i < 100 && lab.starts("j-000002") < 3; i++) Lab.sleep(100);
        if (lab.starts("j-000002") < 3) throw new Lab.CannotRun("the replicas were not started");
        Lab.sleep(1500);
        for (Worker worker : workers) worker.sick = false;
        long sound = Lab.now();
        lab.record("lab", "trouble", "over: all machines are sound");

        // From here on the rule's 90 s count.
        int replicas = 0;
        while (Lab.now() < sound + 90_500) {
            Lab.sleep(500);
            replicas = lab.onMachines("j-000002");
            if (replicas == 3) break;
        }
        int room = 0;
        for (Worker worker : lab.cloud.workers()) if (worker.freeCpus() >= 15) room++;
        lab.status(lab.poll(0, "j-000002"));
        lab.record("lab", "end", replicas + " of 3 replicas run " + (Lab.now() - sound) + " ms after the trouble; machines with room for one: "
            + room + "; starts of replicas: " + lab.starts("j-000002") + "; tasks of the first job on machines: " + lab.onMachines("j-000001"));
        broken.addAll(lab.broken);
        if (replicas == 3) return;
        if (room == 0 || lab.onMachines("j-000001") < 3) throw new Lab.CannotRun("no room for the replicas that wait");
        broken.add("left waiting: " + (3 - replicas) + " of 3 replicas of the accepted service j-000002 have waited for "
            + (Lab.now() - sound) + " ms since the trouble was over, while " + room + " machines that fit had room all the time");
    }
}
