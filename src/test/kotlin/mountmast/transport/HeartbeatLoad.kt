package mountmast.transport

import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Workers that report to one node, as PROTOCOL describes them, and the processor of that node, in virtual time. Requests are read
 * by [readers] threads; whether a report may wait, and whether it is answered, is [bulkhead]'s to say. A worker that is refused or not
 * answered in time asks the next node, which sends it back.
 */
class HeartbeatLoad(seed: Long, workers: Int, private val readers: Int, private val bulkhead: RequestBulkhead) {
    private class Worker(var answeredSentAt: Long = 0, var awaited: Request? = null)

    private class Request(val worker: Worker, val sentAt: Long, var queuedAt: Long = 0)

    private class Event(val at: Long, val act: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private var nowMicros = 0L
    private var stoppedUntil = 0L
    private val unread = ArrayDeque<Request>()
    private val queue = ArrayDeque<Request>()
    private var isBusy = false
    private var answeredInTime = 0
    private var sent = 0

    /** How many times a worker's lease ran out. */
    var leasesLost = 0
        private set

    /** How many of the reports sent were answered before their worker gave up. */
    val answeredShare: Double get() = answeredInTime.toDouble() / maxOf(1, sent)

    init {
        val all = List(workers) { Worker() }
        for (worker in all) later(random.nextLong(HEARTBEAT_MICROS)) { send(worker) }
        checkLeases(all)
    }

    private fun later(inMicros: Long, act: () -> Unit) {
        events += Event(nowMicros + inMicros, act)
    }

    /** Lets [ms] pass. */
    fun run(ms: Long) {
        val until = nowMicros + ms * MICROS_PER_MS
        while (true) {
            val next = events.peek()?.takeIf { it.at <= until } ?: break
            events.poll()
            nowMicros = maxOf(nowMicros, next.at)
            next.act()
        }
        nowMicros = until
    }

    /** The node does nothing for [ms]. */
    fun stop(ms: Long) {
        stoppedUntil = nowMicros + ms * MICROS_PER_MS
        later(ms * MICROS_PER_MS) { work() }
    }

    /** Counts from here on. */
    fun forgetLosses() {
        leasesLost = 0
        answeredInTime = 0
        sent = 0
    }

    private fun checkLeases(all: List<Worker>) {
        for (worker in all) {
            if (nowMicros - worker.answeredSentAt <= LEASE_MICROS) continue
            leasesLost++
            worker.answeredSentAt = nowMicros
        }
        later(MICROS_PER_S) { checkLeases(all) }
    }

    private fun send(worker: Worker) {
        val request = Request(worker, nowMicros)
        worker.awaited = request
        sent++
        unread += request
        later(PATIENCE_MICROS) { if (worker.awaited === request) giveUp(worker) }
        work()
    }

    /** Another node says at once who leads. */
    private fun giveUp(worker: Worker) {
        worker.awaited = null
        later(MICROS_PER_S + random.nextLong(MICROS_PER_S / 2)) { send(worker) }
    }

    /** The processor does one piece of work at a time, and is fair to the threads that have some. */
    private fun work() {
        if (isBusy || nowMicros < stoppedUntil) return
        val reading = minOf(readers, unread.size)
        val answering = minOf(bulkhead.threads, queue.size)
        if (reading + answering == 0) return
        if (random.nextInt(reading + answering) < reading) read(unread.removeFirst()) else answer(queue.removeFirst())
    }

    private fun spend(micros: Long, act: () -> Unit) {
        isBusy = true
        later(micros) {
            isBusy = false
            act()
            work()
        }
    }

    private fun read(request: Request) = spend(READ_MICROS) {
        request.queuedAt = nowMicros
        if (bulkhead.admits(queue.size)) queue += request else refuse(request)
    }

    private fun answer(request: Request) {
        val waitedMs = (nowMicros - request.queuedAt) / MICROS_PER_MS
        if (!bulkhead.isWorthAnswering(waitedMs)) return refuse(request)
        spend(ANSWER_MICROS) { answered(request) }
    }

    private fun refuse(request: Request) = spend(REFUSE_MICROS) {
        if (request.worker.awaited === request) giveUp(request.worker)
    }

    private fun answered(request: Request) {
        val worker = request.worker
        if (worker.awaited !== request) return
        worker.awaited = null
        worker.answeredSentAt = request.sentAt
        answeredInTime++
        // Every fourth report tells of a change, the others are due.
        val next = if (random.nextInt(CHANGES_ONE_IN) == 0) CHANGE_MICROS else HEARTBEAT_MICROS * random.nextLong(75, 125) / 100
        later(next) { send(worker) }
    }

    private companion object {
        const val MICROS_PER_MS = 1000L
        const val MICROS_PER_S = 1_000_000L

        /** What a worker does, by the settings of the largest sites. */
        const val HEARTBEAT_MICROS = 5 * MICROS_PER_S
        const val CHANGE_MICROS = 500 * MICROS_PER_MS
        const val CHANGES_ONE_IN = 4
        const val LEASE_MICROS = 26_500 * MICROS_PER_MS
        const val PATIENCE_MICROS = 4 * MICROS_PER_S

        /** Measured processor time, at a quarter of a core: reading a request, answering a report, and refusing one unread. */
        const val READ_MICROS = 400L
        const val ANSWER_MICROS = 500L
        const val REFUSE_MICROS = 200L
    }
}
