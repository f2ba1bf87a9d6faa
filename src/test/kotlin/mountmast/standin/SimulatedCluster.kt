package mountmast.standin

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.MachineType
import mountmast.protocol.Shape
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.Zone
import kotlin.random.Random

/**
 * A simulated cluster in virtual time: three controllers with simulated workers, users, network, cloud and state service. All
 * random draws come from [seed]. [InvariantChecker] checks the rules of PROTOCOL in each run.
 *
 * @param isNetworkReliable whether the network neither loses, delays nor repeats messages, unless a fault is injected
 * @param machinesPerOffering how many machines the cloud has of each machine type in each zone, for spot and on-demand machines each
 */
class SimulatedCluster(
    val seed: Long,
    val isNetworkReliable: Boolean = false,
    machinesPerOffering: Int = 4,
    val limits: FallingLimits = FallingLimits(),
    /** Whether the nodes learn that all of them read the current data formats. */
    val negotiatesFormats: Boolean = true,
    /** The version that all nodes run at first. */
    version: NodeVersion = NodeVersion.CURRENT,
) {
    val random = Random(seed)
    val time = VirtualTime()
    val zones = listOf(Zone("a"), Zone("b"))
    val teams = listOf(
        TeamQuota(TeamId("red"), 16.0, 40.0, 0.0, 0.0),
        TeamQuota(TeamId("blue"), 8.0, 24.0, 0.0, 0.0),
        TeamQuota(TeamId("free"), 0.0, 0.0, 0.0, 0.0),
    ).associateBy { it.id }
    private val types = listOf(
        MachineType(TypeId("s"), 4.0, 0.0, 16.0, 20.0, 1.0, 0.3, 0.1, 4.0, zones),
        MachineType(TypeId("l"), 16.0, 0.0, 64.0, 40.0, 0.5, 1.2, 0.38, 5.0, zones),
    )
    val invariants = InvariantChecker(teams, CANCEL_MS)
    val users = SimulatedUsers(this)
    val jobs: Map<JobId, JobSpec> get() = users.jobs

    /** Jobs whose tasks fail on every machine. */
    val failingJobs = HashSet<JobId>()
    val store = SimulatedStateStore(time, limits = limits)
    val cloud = SimulatedCloud(time, random, types, machinesPerOffering) { id, request ->
        SimulatedWorker(
            id, types.first { it.id == request.type }, request.zone, request.spot, time, invariants, LEASE_MS, jobs::get,
            failingJobs::contains, users::onTaskCompleted,
        )
    }
    val network = SimulatedNetwork(this)
    val faultInjector = FaultInjector(this)
    val hosts = List(NODES) { ControllerHost(this, it, version) }
    private val starvationCheck = StarvationCheck(this)

    /** Whether users submit jobs with prerequisites; they do not while a node runs the production release, which lacks them. */
    val usesPrerequisites: Boolean get() = hosts.all { it.version == NodeVersion.CURRENT }

    /** Runs the simulation for [ms] milliseconds, in steps of 20 to 90 ms; if [busy], users submit and cancel jobs. */
    fun run(ms: Long, busy: Boolean) {
        val until = time.now + ms
        while (time.now < until) {
            time.advance(random.nextLong(20, 90))
            cloud.step()
            for (worker in cloud.workers) {
                worker.step()
                network.onHeartbeat(worker)
            }
            hosts.shuffled(random).forEach { it.step() }
            users.step(busy)
            invariants.checkCancelledJobs(time.now)
            hosts.firstOrNull { it.violations > 0 }?.let { throw InvariantViolation("invariant violated by ${it.name}, seed $seed") }
            starvationCheck.step()
        }
    }

    /** Returns a job whose id contains [number] and whose other properties are random, with [change] applied to it. */
    fun job(number: Int, change: (JobSpec) -> JobSpec = { it }): JobSpec {
        val cpus = listOf(1.0, 2.0, 4.0, 7.0).random(random)
        return change(
            JobSpec(
                JobId("j-" + number.toString().padStart(6, '0')), "c", teams.keys.random(random),
                if (random.nextInt(8) == 0) Shape.SERVICE else Shape.ARRAY, Urgency.entries.random(random),
                random.nextInt(1, 5), cpus, 0.0, cpus * 2, ImageId("i${random.nextInt(3)}"), random.nextDouble(0.0, 2.0),
                if (random.nextInt(4) == 0) listOf(TypeId("l")) else null, if (random.nextInt(5) == 0) zones.random(random) else null,
                random.nextInt(5) == 0, random.nextInt(5) == 0, random.nextInt(3) != 0, random.nextDouble(1.0, 8.0),
                if (random.nextBoolean()) 2.0 else 0.0, 0.5, null,
            ),
        )
    }

    /** Returns an array job of four tasks that may run on any machine, with [change] applied to it. */
    fun plainJob(number: Int, change: (JobSpec) -> JobSpec = { it }) = job(number) { drawn ->
        change(
            drawn.copy(
                team = TeamId("red"), shape = Shape.ARRAY, urgency = Urgency.NORMAL, tasks = 4, cpus = 2.0, memoryGb = 4.0, types = null,
                zone = null, singleZone = false, spreadAcrossZones = false, spotAllowed = true, estimateS = 3.0,
                checkpointEveryS = 0.0, checkpointSaveS = 0.0,
            ),
        )
    }

    fun submit(spec: JobSpec): Int? = users.submit(spec)

    fun accept(spec: JobSpec): JobId = users.accept(spec)

    fun cancel(id: JobId, at: ControllerHost? = null): Int? = users.cancel(id, at)

    fun poll(id: JobId, at: ControllerHost? = null): JobStatus? = users.poll(id, at)

    fun submitInvalidJob() = users.submitInvalidJob()

    fun cancelServices() = users.cancelServices()

    fun cancelOnTaskCompletion(ms: Long) = users.cancelOnTaskCompletion(ms)

    fun unfinishedJobs(): List<JobId> = users.unfinishedJobs()

    /** Injects one random fault. */
    fun injectRandomFault() = faultInjector.injectRandomFault()

    fun partitionZone(zone: Zone, ms: Long) = network.partitionZone(zone, ms)

    /** For [ms], direct commands to [worker] are held up; each is carried out [ms] after it was sent. */
    fun holdCommands(worker: SimulatedWorker, ms: Long) {
        worker.commandsHeldMs = ms
        worker.commandsHeldUntil = time.now + ms
    }

    companion object {
        const val NODES = 3
        const val LEASE_MS = 6000L
        const val HEARTBEAT_MS = 1000L
        const val CANCEL_MS = 24_000L
    }
}
