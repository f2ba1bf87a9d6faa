package mountmast.contract

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.serializer
import mountmast.protocol.Attempt
import mountmast.protocol.CommandRequest
import mountmast.protocol.CommandType
import mountmast.protocol.ErrorResponse
import mountmast.protocol.ExitCause
import mountmast.protocol.FencingToken
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.HeartbeatSequence
import mountmast.protocol.ImageId
import mountmast.protocol.JobAnswer
import mountmast.protocol.JobId
import mountmast.protocol.JobSpec
import mountmast.protocol.JobStatus
import mountmast.protocol.ListedMachine
import mountmast.protocol.ListedState
import mountmast.protocol.MachineId
import mountmast.protocol.MachineNames
import mountmast.protocol.MachinePage
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.Redirect
import mountmast.protocol.RentalRequest
import mountmast.protocol.RentalRequestId
import mountmast.protocol.ReportedTask
import mountmast.protocol.Revision
import mountmast.protocol.Shape
import mountmast.protocol.StoreLeaseId
import mountmast.protocol.TaskState
import mountmast.protocol.TeamId
import mountmast.protocol.TypeId
import mountmast.protocol.Urgency
import mountmast.protocol.WallTime
import mountmast.protocol.WorkerCommand
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import mountmast.storage.CancellationWatermarkRecord
import mountmast.storage.FORMAT_VERSION
import mountmast.storage.FailingJob
import mountmast.storage.FailingRecord
import mountmast.storage.FinishedJobRecord
import mountmast.storage.FormatRecord
import mountmast.storage.ImagesRecord
import mountmast.storage.JobRecord
import mountmast.storage.JournalRecord
import mountmast.storage.LeaderRecord
import mountmast.storage.PrerequisiteListPart
import mountmast.storage.PrerequisiteListRef
import mountmast.storage.ProgressRecord
import mountmast.storage.SnapshotPart
import mountmast.storage.SnapshotRecord
import mountmast.storage.TermRecord
import mountmast.storage.TypesRecord

/**
 * A value and the [name] of the fixture line with its encoded form. The name belongs to the form, not to the class: it stays when
 * the class is renamed.
 */
class Example<T : Any>(val name: String, val className: String, val serializer: KSerializer<T>, val value: T)

/** Values of every serializable type: `full` sets all fields to values other than the default, `least` only the required ones. */
object SerializedExamples {
    private inline fun <reified T : Any> example(name: String, value: T) = Example(name, T::class.simpleName!!, serializer<T>(), value)

    private inline fun <reified T : Enum<T>> enumExample(name: String, vararg values: T): Example<List<T>> {
        check(values.toSet() == enumValues<T>().toSet()) { "$name: not all values of the enum are pinned" }
        return Example(name, T::class.simpleName!!, ListSerializer(serializer<T>()), values.toList())
    }

    val fullJob = JobSpec(
        id = JobId("j-000412"),
        jobClass = "train",
        team = TeamId("red"),
        shape = Shape.SERVICE,
        urgency = Urgency.BEST_EFFORT,
        tasks = 7,
        cpus = 1.5,
        gpus = 2.0,
        memoryGb = 3.25,
        image = ImageId("img-9"),
        imageGb = 4.5,
        types = listOf(TypeId("large"), TypeId("small")),
        zone = Zone("north"),
        singleZone = true,
        spreadAcrossZones = false,
        spotAllowed = true,
        estimateS = 600.5,
        checkpointEveryS = 30.0,
        checkpointSaveS = 0.75,
        deadlineS = 9000.0,
        prerequisites = listOf(JobId("j-000003"), JobId("j-000004")),
    )

    val leastJob = JobSpec(
        id = JobId("j-1"),
        jobClass = "batch",
        team = TeamId("blue"),
        shape = Shape.ARRAY,
        urgency = Urgency.NORMAL,
        tasks = 1,
        cpus = 1.0,
        gpus = 0.0,
        memoryGb = 0.5,
        image = ImageId("base"),
        imageGb = 0.0,
        singleZone = false,
        spreadAcrossZones = true,
        spotAllowed = false,
        estimateS = 60.0,
        checkpointEveryS = 0.0,
        checkpointSaveS = 0.0,
    )

    val fullType = MachineType(
        id = TypeId("large"),
        cpus = 16.0,
        gpus = 4.0,
        memoryGb = 64.0,
        cacheGb = 200.0,
        fetchGbPerS = 0.5,
        price = 3.2,
        spotPrice = 1.1,
        bootS = 45.0,
        zones = listOf(Zone("north"), Zone("south")),
    )

    val leastType = MachineType(
        id = TypeId("small"),
        cpus = 4.0,
        memoryGb = 8.0,
        cacheGb = 50.0,
        fetchGbPerS = 0.25,
        price = 0.8,
        spotPrice = 0.3,
        bootS = 20.0,
        zones = emptyList(),
    )

    private val fullTask =
        ReportedTask("j-000412/3", Attempt(5u), TaskState.EXITED, ExitCause.NO_ROOM, saved = true)
    private val leastTask = ReportedTask("j-1/0", Attempt(1u), TaskState.RUNNING)
    private val fullCommand = WorkerCommand(CommandType.STOP, "j-000412/3", Attempt(5u), terminationGraceS = 2.5)
    private val leastCommand = WorkerCommand(CommandType.START, "j-1/0", Attempt(1u))
    private val fullListed =
        ListedMachine(MachineId("vm-12"), "10.0.0.4:7070", TypeId("large"), Zone("north"), spot = true, ListedState.RUNNING, ageS = 12.5)
    private val leastListed =
        ListedMachine(id = MachineId("vm-13"), type = TypeId("small"), zone = Zone("south"), state = ListedState.BOOTING)

    /** Types that are encoded as a single JSON value; numbers have the largest possible value. */
    private val scalars: List<Example<*>> = listOf(
        example("job-id", JobId("j-000412")),
        example("machine-id", MachineId("vm-12")),
        example("node-id", NodeId("node-2")),
        example("team-id", TeamId("red")),
        example("zone", Zone("north 1")),
        example("type-id", TypeId("large")),
        example("image-id", ImageId("img-9")),
        example("rental-id", RentalRequestId("c-77")),
        example("fencing-token", FencingToken(ULong.MAX_VALUE)),
        example("worker-epoch", WorkerIncarnation(ULong.MAX_VALUE)),
        example("report-number", HeartbeatSequence(ULong.MAX_VALUE)),
        example("attempt", Attempt(ULong.MAX_VALUE)),
        example("key-version", ModRevision(ULong.MAX_VALUE)),
        example("store-revision", Revision(ULong.MAX_VALUE)),
        example("store-lease", StoreLeaseId(ULong.MAX_VALUE)),
        example("wall-time", WallTime(1_700_000_010_088)),
    )

    private val enums: List<Example<*>> = listOf(
        enumExample("shapes", Shape.ARRAY, Shape.SERVICE),
        enumExample("urgencies", Urgency.PRODUCTION, Urgency.HIGH, Urgency.NORMAL, Urgency.BEST_EFFORT),
        enumExample("job-statuses", JobStatus.PENDING, JobStatus.RUNNING, JobStatus.DONE, JobStatus.CANCELLED),
        enumExample("task-states", TaskState.FETCHING, TaskState.WAITING, TaskState.RUNNING, TaskState.SAVING, TaskState.EXITED),
        enumExample(
            "exit-causes",
            ExitCause.DONE,
            ExitCause.STOPPED,
            ExitCause.FAILED,
            ExitCause.NO_ROOM,
            ExitCause.BUSY,
            ExitCause.UNKNOWN,
            ExitCause.PEERS,
            ExitCause.ALONE,
        ),
        enumExample("verbs", CommandType.START, CommandType.STOP, CommandType.FORGET),
        enumExample("listed-states", ListedState.BOOTING, ListedState.RUNNING, ListedState.FAILED),
    )

    private val messages: List<Example<*>> = listOf(
        example("job-full", fullJob),
        example("job-least", leastJob),
        example("job-answer-full", JobAnswer(JobId("j-000412"), JobStatus.RUNNING, 3, 4, listOf(JobId("j-000003")))),
        example("job-answer-least", JobAnswer(JobId("j-1"), JobStatus.PENDING)),
        example("refusal", ErrorResponse("try again")),
        example("reported-task-full", fullTask),
        example("reported-task-least", leastTask),
        example(
            "report-full",
            Heartbeat(
                machine = MachineId("vm-12"),
                address = "10.0.0.4:7070",
                type = TypeId("large"),
                zone = Zone("north"),
                spot = true,
                incarnation = WorkerIncarnation(6u),
                sequence = HeartbeatSequence(901u),
                token = FencingToken(3_145_729u),
                reclaimNoticeS = 28.5,
                tasks = listOf(fullTask, leastTask),
            ),
        ),
        example(
            "report-least",
            Heartbeat(
                machine = MachineId("vm-13"),
                address = "10.0.0.5:7070",
                type = TypeId("small"),
                zone = Zone("south"),
                incarnation = WorkerIncarnation(1u),
                sequence = HeartbeatSequence(0u),
            ),
        ),
        example("command-full", fullCommand),
        example("command-least", leastCommand),
        example("report-answer-full", HeartbeatResponse(FencingToken(3_145_729u), listOf(fullCommand, leastCommand))),
        example("report-answer-least", HeartbeatResponse(FencingToken(0u), emptyList())),
        example("redirect-full", Redirect(NodeId("node-2"))),
        example("redirect-least", Redirect()),
        example("direct-commands-full", CommandRequest(FencingToken(3_145_729u), WorkerIncarnation(6u), listOf(fullCommand, leastCommand))),
        example("direct-commands-least", CommandRequest(FencingToken(0u), WorkerIncarnation(0u), emptyList())),
        example("machine-type-full", fullType),
        example("machine-type-least", leastType),
        example("machine-types-full", MachineTypes(listOf(fullType, leastType))),
        example("machine-types-least", MachineTypes(emptyList())),
        example("rental-request", RentalRequest(RentalRequestId("c-77"), TypeId("large"), Zone("north"), spot = true, count = 12)),
        example("machine-names-full", MachineNames(listOf(MachineId("vm-12"), MachineId("vm-13")))),
        example("machine-names-least", MachineNames(emptyList())),
        example("listed-machine-full", fullListed),
        example("listed-machine-least", leastListed),
        example("machine-page-full", MachinePage(listOf(fullListed, leastListed), more = true)),
        example("machine-page-least", MachinePage(emptyList())),
    )

    /** The text that [COMPRESSED] decompresses to. */
    const val UNCOMPRESSED = "+j-000412/3 vm-12 6 5 north;!j-000412/3;"

    /** A constant, not computed: libraries differ in how they compress a text, but not in what this decompresses to. */
    const val COMPRESSED = "087SNTAwMDE00jdWKMvVNTRSMFMwVcjLLyrJsFZEyFkDAA"

    val fullRecord = JobRecord(fullJob, WallTime(1_700_000_010_088), cancelled = true, PrerequisiteListRef("00ff00ff00ff00ff", 3))
    private val fullFailing = FailingJob(listOf(MachineId("vm-12"), MachineId("vm-13")), 4)

    private val storedRecords: List<Example<*>> = listOf(
        example(
            "stored-leader-full",
            LeaderRecord(NodeId("node-2"), "r-4f", FencingToken(3_145_728u), WallTime(1_700_000_000_001), WallTime(1_700_000_000_002)),
        ),
        example("stored-leader-least", LeaderRecord(NodeId("node-1"), "r-1", FencingToken(0u))),
        example("stored-watermark", CancellationWatermarkRecord(WallTime(1_700_000_000_002))),
        example("stored-term", TermRecord(FencingToken(3_145_728u))),
        example("stored-job-full", fullRecord),
        example("stored-job-least", JobRecord(leastJob, WallTime(0))),
        example("stored-prerequisites-reference", PrerequisiteListRef("00ff00ff00ff00ff", 3)),
        example("stored-prerequisites-full", PrerequisiteListPart(listOf(JobId("j-000003"), JobId("j-000004")))),
        example("stored-prerequisites-least", PrerequisiteListPart(emptyList())),
        example("stored-finished-full", FinishedJobRecord(JobStatus.CANCELLED, 7, WallTime(1_700_000_000_003), isService = true)),
        example("stored-finished-least", FinishedJobRecord(JobStatus.DONE, 1)),
        example("stored-types-full", TypesRecord(listOf(fullType, leastType), parts = 2, digest = -77)),
        example("stored-types-least", TypesRecord(emptyList())),
        example("stored-images-full", ImagesRecord(mapOf(MachineId("vm-12") to mapOf(ImageId("img-9") to 4.5, ImageId("base") to 0.5)))),
        example("stored-images-least", ImagesRecord(emptyMap())),
        example("stored-failing-job-full", fullFailing),
        example("stored-failing-job-run", FailingJob(listOf(MachineId("vm-12")), 3, longestRunS = 8.0)),
        example("stored-failing-job-least", FailingJob(emptyList(), 0)),
        example("stored-failing-full", FailingRecord(mapOf(JobId("j-000412") to fullFailing))),
        example("stored-failing-least", FailingRecord(emptyMap())),
        example("stored-journal-full", JournalRecord(901, "", COMPRESSED)),
        example("stored-journal-least", JournalRecord(1, UNCOMPRESSED)),
        example("stored-snapshot", SnapshotRecord(5, 901, 3)),
        example("stored-snapshot-part-full", SnapshotPart("", COMPRESSED)),
        example("stored-snapshot-part-least", SnapshotPart(UNCOMPRESSED)),
        example("stored-progress-full", ProgressRecord("", COMPRESSED)),
        example("stored-progress-least", ProgressRecord("j-000412 3 4;")),
        example("stored-format", FormatRecord(FORMAT_VERSION)),
    )

    val json: List<Example<*>> = scalars + enums + messages + storedRecords

    val protobuf: List<Example<*>> = listOf(
        example("hello-full", PeerHeartbeat("node-2", 41L shl 20, serves = true, leads = true, listOf("j-000004", "j-000008"), 2)),
        example("hello-least", PeerHeartbeat("node-1", 0, serves = false, leads = false)),
        example("relay-request-full", ForwardedRequest("POST", "/v1/jobs", """{"nameId":"j-000009"}""")),
        example("relay-request-least", ForwardedRequest("", "", "")),
        example("relay-answer-full", ForwardedResponse(503, """{"error":"try again"}""", 1)),
        example("relay-answer-least", ForwardedResponse(201, "")),
    )
}
