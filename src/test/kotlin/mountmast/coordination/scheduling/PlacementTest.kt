package mountmast.coordination.scheduling

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.Resources
import mountmast.protocol.Shape
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.protocol.Zone
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Placement, which searches through groups of machines, chooses the same machines as an exhaustive search for each task. */
class PlacementTest {
    private val zones = listOf(Zone("a"), Zone("b"), Zone("c"))
    private val types = listOf(
        MachineType(TypeId("s"), 4.0, 0.0, 16.0, 20.0, 1.0, 0.3, 0.1, 25.0, zones),
        MachineType(TypeId("m"), 16.0, 0.0, 128.0, 50.0, 0.5, 1.0, 0.3, 30.0, zones),
        MachineType(TypeId("g"), 32.0, 4.0, 256.0, 50.0, 0.3, 4.0, 1.5, 50.0, zones),
    )
    private val team = TeamQuota(TeamId("t"), 0.0, 0.0, 0.0, 0.0)
    private val quotas = mapOf(team.id to team)

    private fun machine(random: Random, number: Int): MachineView {
        val type = types.random(random)
        val used = random.nextInt(0, 5) / 4.0
        val freeCapacity = Resources(type.cpus * (1 - used), type.gpus * (1 - used), type.memoryGb * (1 - used * random.nextInt(1, 3) / 2))
        val images = (1..6).filter { random.nextInt(3) == 0 }.mapTo(HashSet()) { ImageId("i$it") }
        val reservedFor = if (random.nextInt(12) == 0) JobId("j-${random.nextInt(1, 12)}") else null
        return MachineView(
            MachineId("vm-" + number.toString().padStart(6, '0')),
            MachineKind(type, zones.random(random), random.nextBoolean()),
            freeCapacity,
            images,
            reservedFor,
        ) { emptyList() }
    }

    private fun job(random: Random, number: Int, machines: List<MachineView>): JobView {
        val tasks = random.nextInt(1, 60)
        val cpus = listOf(0.5, 1.0, 2.0, 4.0, 8.0).random(random)
        val spec = JobSpec(
            JobId("j-$number"), "c", team.id, Shape.ARRAY, Urgency.entries.random(random), tasks, cpus,
            if (random.nextInt(8) == 0) 1.0 else 0.0, cpus * random.nextInt(1, 6), ImageId("i${random.nextInt(1, 8)}"), 2.0,
            if (random.nextInt(4) == 0) types.shuffled(random).take(2).map { it.id } else null,
            if (random.nextInt(5) == 0) zones.random(random) else null, singleZone = random.nextInt(5) == 0,
            spreadAcrossZones = random.nextInt(5) == 0, spotAllowed = random.nextInt(3) != 0, estimateS = 50.0,
            checkpointEveryS = if (random.nextBoolean()) 20.0 else 0.0, checkpointSaveS = 1.0,
        )
        val excludedMachines = if (random.nextInt(3) == 0) machines.shuffled(random).take(5).mapTo(HashSet()) { it.id } else emptySet()
        val assignedPerZone = if (random.nextInt(3) == 0) mapOf(zones.random(random) to random.nextInt(1, 4)) else emptyMap()
        val waitedS = if (random.nextInt(6) == 0) 90.0 else 5.0
        val jobTasks = JobTasks(tasks, tasks, assignedPerZone.values.sum(), assignedPerZone) { count -> IntArray(count) { it } }
        val timing = JobTiming(WallTime(number.toLong()), 50.0, slackS = random.nextDouble(0.0, 400.0), waitedS = waitedS)
        return JobView(spec, jobTasks, timing, excludedMachines, isPoisoned = false, mayStart = true)
    }

    /** Examines every machine for every task; the reference for the search through groups. */
    private class ExhaustiveSearch(private val machines: List<MachineView>) {
        private val freeCapacity = machines.associateWithTo(HashMap()) { it.freeCapacity }
        val starts = ArrayList<Pair<JobId, MachineId>>()

        fun place(job: JobView) {
            val spec = job.spec
            val tasksPerZone = HashMap(job.tasks.assignedPerZone)
            val requiredZone =
                if (spec.singleZone) tasksPerZone.entries.firstOrNull { it.value > 0 }?.key ?: zoneWithMostCapacity(job) ?: return else null
            repeat(job.tasks.openCount) {
                val best = machines.filter { (requiredZone == null || it.zone == requiredZone) && fits(job, it, tasksPerZone) }
                    .minWithOrNull(compareBy<MachineView> { score(job, it) }.thenBy { it.id.text }) ?: return
                freeCapacity[best] = (freeCapacity.getValue(best) - spec.perTask).rounded()
                tasksPerZone.merge(best.zone, 1, Int::plus)
                starts += spec.id to best.id
            }
        }

        private fun zoneWithMostCapacity(job: JobView): Zone? = machines.filter { isAllowed(job, it, emptyMap()) }.groupBy { it.zone }
            .mapValues { (_, all) -> all.sumOf { job.spec.perTask.instancesWithin(freeCapacity.getValue(it), job.tasks.openCount) } }
            .entries.sortedBy { it.key.text }.maxByOrNull { it.value }?.key

        private fun fits(job: JobView, machine: MachineView, tasksPerZone: Map<Zone, Int>) =
            job.spec.perTask.fitsWithin(freeCapacity.getValue(machine)) && isAllowed(job, machine, tasksPerZone)

        private fun isAllowed(job: JobView, machine: MachineView, tasksPerZone: Map<Zone, Int>): Boolean {
            val spec = job.spec
            return (machine.reservedFor == null || machine.reservedFor == spec.id) &&
                (spec.spotAllowed || !machine.kind.isSpot) &&
                (spec.types == null || machine.type.id in spec.types!!) &&
                (spec.zone == null || machine.zone == spec.zone) &&
                (machine.id !in job.excludedMachines || job.timing.waitedS > 70) &&
                (!spec.spreadAcrossZones || (tasksPerZone[machine.zone] ?: 0) < spec.maxTasksPerZone)
        }

        private fun score(job: JobView, machine: MachineView): Double {
            val spec = job.spec
            val fetchS = if (spec.image in machine.images) 0.0 else spec.imageGb / machine.type.fetchGbPerS
            val freeAfter = freeCapacity.getValue(machine) - spec.perTask
            val freeShareAfter = maxOf(freeAfter.cpus / machine.type.cpus, freeAfter.memoryGb / machine.type.memoryGb)
            val isSpotMismatch =
                if (job.timing.slackS > 200) !machine.kind.isSpot && spec.spotAllowed else machine.kind.isSpot && spec.checkpointEveryS <= 0
            return fetchS + freeShareAfter + (if (isSpotMismatch) 0.5 else 0.0)
        }
    }

    private fun placement(snapshot: ClusterSnapshot): Placement {
        val assurance = AssuranceAssessment(SchedulingPolicy()).assess(snapshot)
        val constraints = PlacementConstraints(snapshot, JobPriorities(snapshot, SchedulingPolicy(), assurance))
        return Placement(snapshot, SchedulingPolicy(startsPerCycle = 100_000), constraints)
    }

    @Test
    fun `a search through groups and an exhaustive search choose the same machines in random clusters`() {
        var starts = 0
        for (seed in 1L..300L) {
            val random = Random(seed)
            val machines = List(random.nextInt(1, 120)) { machine(random, it) }.shuffled(random)
            val jobs = (1..random.nextInt(1, 14)).map { job(random, it, machines) }
            val search = ExhaustiveSearch(machines).apply { jobs.forEach(::place) }
            val snapshot = ClusterSnapshot(machines, jobs, emptyMap(), quotas, emptyMap())
            val placement = placement(snapshot)
            jobs.forEach { placement.place(it, it.tasks.openCount) { true } }
            assertEquals(search.starts, placement.starts().map { it.job to it.machine }, "seed $seed")
            starts += search.starts.size
        }
        assertTrue(starts > 10_000, "$starts starts in all")
    }

    @Test
    fun `an index that is updated as machines change equals one built anew`() {
        for (seed in 1L..40L) {
            val random = Random(seed)
            val index = MachineIndex()
            val machines = LinkedHashMap<Int, MachineView>()
            repeat(400) { step ->
                val number = random.nextInt(60)
                val known = machines[number]
                when {
                    known == null -> machines[number] = machine(random, number).also(index::add)
                    random.nextInt(3) == 0 -> index.remove(checkNotNull(machines.remove(number)))
                    random.nextInt(4) == 0 && known.reservedFor == null -> index.reserve(known, JobId("j-${random.nextInt(1, 9)}"))
                    else -> index.updateFreeCapacity(
                        known,
                        Resources(random.nextInt(0, 4).toDouble(), 0.0, random.nextInt(0, 9).toDouble()),
                    )
                }
                if (step % 20 == 0) assertTrue(describe(rebuilt(machines.values)) == describe(index), "seed $seed, step $step")
            }
            machines.values.forEach(index::remove)
            assertEquals(0, index.groups.size)
            assertEquals(0, index.reservedCount)
        }
    }

    /** Returns a new index of copies of [machines], as a view may be in one index only. */
    private fun rebuilt(machines: Collection<MachineView>) = MachineIndex.of(
        machines.map { MachineView(it.id, it.kind, it.freeCapacity, it.images, it.reservedFor) { emptyList() } },
    )

    private fun describe(index: MachineIndex): Set<String> = index.groups.flatMapTo(HashSet()) { group ->
        val members = generateSequence(group.next(null)) { group.next(it) }.toList()
        val holders = (1..8).map { ImageId("i$it") }.associateWith { image ->
            generateSequence(group.nextHolding(image, null)) { group.nextHolding(image, it) }.map { it.id }.toList()
        }
        val kind = "${group.kind.type.id} ${group.kind.zone} ${group.kind.isSpot}"
        members.map { "${it.id} $kind ${group.freeCapacity} ${it.reservedFor} ${group.size} $holders" }
    } + "${index.reservedCount} ${index.reservedMachines.map { it.id.text }.sorted().toList()}"

    @Test
    fun `machines without free capacity form few groups`() {
        val full = List(5000) { number ->
            val kind = MachineKind(types[1], zones[number % 3], number % 2 == 0)
            MachineView(MachineId("vm-$number"), kind, Resources(number % 8 / 8.0, 0.0, 1.0), emptySet(), null) { emptyList() }
        }
        val index = MachineIndex.of(full)
        assertTrue(index.groups.size <= 48, "${index.groups.size} groups")
        assertEquals(5000, index.groups.sumOf { it.size })
    }
}
