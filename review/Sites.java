import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Settings like those of the users' two small deployments (BRIEF). */
final class Sites {
    private Sites() {}

    static Rig.Site statamt() {
        List<Map<String, Object>> teams = new ArrayList<>();
        for (String name : List.of("erhebung", "klassif", "register", "regional", "qualitaet")) {
            teams.add(Json.of("name", name, "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0));
        }
        Map<String, Object> hull = Json.of("sku", "rk-32", "vcpus", 32.0, "cards", 0.0, "memGb", 256.0, "localGb", 50.0, "fetchGbPerS", 0.3,
            "hourly", 2.28, "lowPrice", 0.82, "readyS", 50.0, "yards", List.of("rz-ost", "rz-linz"));
        return new Rig.Site("mastnode", List.of("rz-ost", "rz-linz"), 2.5, 14.0, 44.0, 25.0, 250.0, 40.0, 8.0, 16, 5.0, 10.0, 1800, teams,
            List.of(hull), Map.of("rk-32/rz-ost/ordinary", 2, "rk-32/rz-linz/ordinary", 2));
    }

    static Rig.Site parkpay() {
        List<Map<String, Object>> teams = new ArrayList<>();
        teams.add(Json.of("name", "collections", "cpus", 48.0, "cpus_max", 176.0, "gpus", 0.0, "gpus_max", 0.0));
        teams.add(Json.of("name", "enforcement", "cpus", 40.0, "cpus_max", 96.0, "gpus", 0.0, "gpus_max", 0.0));
        teams.add(Json.of("name", "finance", "cpus", 48.0, "cpus_max", 144.0, "gpus", 0.0, "gpus_max", 0.0));
        teams.add(Json.of("name", "appsupport", "cpus", 48.0, "cpus_max", 176.0, "gpus", 0.0, "gpus_max", 0.0));
        List<Map<String, Object>> hulls = new ArrayList<>();
        hulls.add(Json.of("sku", "smallbox", "vcpus", 4.0, "cards", 0.0, "memGb", 16.0, "localGb", 50.0, "fetchGbPerS", 0.5,
            "hourly", 0.28, "lowPrice", 0.1, "readyS", 25.0, "yards", List.of("portofspain")));
        hulls.add(Json.of("sku", "midbox", "vcpus", 8.0, "cards", 0.0, "memGb", 32.0, "localGb", 80.0, "fetchGbPerS", 0.8,
            "hourly", 0.59, "lowPrice", 0.18, "readyS", 30.0, "yards", List.of("portofspain")));
        hulls.add(Json.of("sku", "bigbox", "vcpus", 16.0, "cards", 0.0, "memGb", 64.0, "localGb", 25.0, "fetchGbPerS", 0.5,
            "hourly", 1.17, "lowPrice", 0.37, "readyS", 20.0, "yards", List.of("portofspain")));
        return new Rig.Site("mastnode", List.of("portofspain"), 1.5, 10.0, 40.0, 1000.0, 80.0, 30.0, 16.0, 24, 5.0, 3.0, 800, teams,
            hulls, Map.of("smallbox/portofspain/ordinary", 10, "smallbox/portofspain/spot", 10, "midbox/portofspain/ordinary", 4,
                "midbox/portofspain/spot", 6, "bigbox/portofspain/ordinary", 1, "bigbox/portofspain/spot", 1));
    }
}
