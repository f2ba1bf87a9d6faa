import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Of fifty jobs of one task each, two were submitted with a mistake and fail on every machine. Their users have not cancelled them. */
final class Case5 {
    private static final int SOUND = 48;
    private static final int MISTAKEN = 2;
    private static final double RUN_S = 40;

    public static void main(String[] args) {
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        Lab.main(broken, () -> run(broken));
    }

    private static void run(List<String> broken) throws Exception {
        Lab lab = new Lab(Lab.Site.census(10), 3);
        lab.startAll();
        lab.awaitReady(40_000);
        List<String> sound = new ArrayList<>();
        for (int i = 0; i < SOUND; i++) sound.add(submit(lab, i, "regional"));
        int on = 0;
        for (int i = 0; i < 200 && on < SOUND; i++) {
            Lab.sleep(100);
            on = 0;
            for (String job : sound) on += lab.onMachines(job);
        }
        if (on < SOUND) throw new Lab.CannotRun("only " + on + " of " + SOUND + " tasks started");
        long started = Lab.now();
        for (int i = SOUND; i < SOUND + MISTAKEN; i++) {
            if (Lab.TROUBLE) lab.failing.add(id(i));
            submit(lab, i, "qualitaet");
        }
        // Each task takes 40 s, and there is room for all of them.
        int open = SOUND;
        while (Lab.now() < 112_000 && open > 0) {
            Lab.sleep(1000);
            open = 0;
            for (String job : sound) if (lab.doneTasks(job) < 1) open++;
        }
        long waited = Lab.now() - started;
        if (open > 0 && waited < 2 * RUN_S * 1000) throw new Lab.CannotRun("only " + waited + " ms were left to wait");
        int starved = 0;
        int most = 0;
        for (String job : sound) {
            if (lab.doneTasks(job) > 0 || lab.starts(job) < 4) continue;
            String status = lab.status(lab.poll(0, job));
            if (!"done".equals(status)) starved++;
            most = Math.max(most, lab.starts(job));
        }
        int quarantined = 0;
        for (int node = 0; node < 3; node++) quarantined += lab.logLines(node, " quarantined: ").size();
        lab.record("lab", "end", open + " of " + SOUND + " sound tasks of 40 s not done " + waited + " ms after all had started; " + starved
            + " of them were started four times or more, one " + most + " times; machines rented: " + lab.cloud.rented
            + "; lines of the log on quarantined machines: " + quarantined);
        broken.addAll(lab.broken);
        if (starved > 0) {
            broken.add("An accepted job must run: " + starved + " of " + SOUND + " sound jobs, whose one task takes 40 s and ran, are not done "
                + waited + " ms later; each was stopped and started again, up to " + most + " times, on machines that are all sound ("
                + lab.cloud.rented + " rented)");
        }
    }

    private static String id(int number) {
        return String.format("j-%06d", number + 1);
    }

    private static String submit(Lab lab, int number, String team) {
        String id = id(number);
        boolean accepted = lab.submitUntilAccepted(number % 3, Lab.job(id, "jobclass", "plausi", "owner", team, "pieces", 1, "vcpus", 1.0,
            "memGb", 6.2, "sizeGb", 0.6, "expectedS", RUN_S));
        if (!accepted) throw new Lab.CannotRun(id + " was not accepted");
        return id;
    }
}
