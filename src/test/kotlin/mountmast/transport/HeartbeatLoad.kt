package mountmast.transport

import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Simulates in virtual time workers that send heartbeats to one node, as PROTOCOL describes it, and the processor of that node. Requests
 * are read by [readerThreads] threads; [bulkhead] decides whether a heartbeat may wait and whether it is answered. A worker whose
 * heartbeat is refused or not answered in time turns to the next node, which redirects it back.
 */
class HeartbeatLoad(seed: Long, workers: Int, private val readerThreads: Int, private val bulkhead: RequestBulkhead) {
    private class Worker(var renewedAt: Long = 0, var pendingRequest: Request? = null)

    private class Request(val worker: Worker, val sentAt: Long, var queuedAt: Long = 0)

    private class Event(val dueAtMicros: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy { it.dueAtMicros })
    private var nowMicros = 0L
    private var pausedUntil = 0L
    private val unread = ArrayDeque<Request>()
    private val queue = ArrayDeque<Request>()
    private var isBusy = false
    private var answeredInTime = 0
    private var sent = 0

    /** Number of times that a worker's lease expired. */
    var expiredLeases = 0
        private set

    /** Share of the heartbeats sent that were answered before the worker's timeout, from 0 to 1. */
    val answeredShare: Double get() = answeredInTime.toDouble() / maxOf(1, sent)

    init {
        val all = List(workers) { Worker() }
        for (worker in all) schedule(random.nextLong(HEARTBEAT_MICROS)) { send(worker) }
        checkLeases(all)
    }

    private fun schedule(delayMicros: Long, action: () -> Unit) {
        events += Event(nowMicros + delayMicros, action)
    }

    /** Runs the simulation for [ms] milliseconds of virtual time. */
    fun run(ms: Long) {
        val until = nowMicros + ms * MICROS_PER_MS
        while (true) {
            val next = events.peek()?.takeIf { it.dueAtMicros <= until } ?: break
            events.poll()
            nowMicros = maxOf(nowMicros, next.dueAtMicros)
            next.action()
        }
        nowMicros = until
    }

    /** Stops the node's processor for the next [ms] milliseconds; returns at once. */
    fun pause(ms: Long) {
        pausedUntil = nowMicros + ms * MICROS_PER_MS
        schedule(ms * MICROS_PER_MS) { startNextOperation() }
    }

    /** Sets all counts to zero. */
    fun resetCounts() {
        expiredLeases = 0
        answeredInTime = 0
        sent = 0
    }

    private fun checkLeases(all: List<Worker>) {
        for (worker in all) {
            if (nowMicros - worker.renewedAt <= LEASE_MICROS) continue
            expiredLeases++
            worker.renewedAt = nowMicros
        }
        schedule(MICROS_PER_S) { checkLeases(all) }
    }

    private fun send(worker: Worker) {
        val request = Request(worker, nowMicros)
        worker.pendingRequest = request
        sent++
        unread += request
        schedule(TIMEOUT_MICROS) { if (worker.pendingRequest === request) retryLater(worker) }
        startNextOperation()
    }

    /** Has [worker] send its next heartbeat after 1 to 1.5 seconds: another node answers at once with the leader's name. */
    private fun retryLater(worker: Worker) {
        worker.pendingRequest = null
        schedule(MICROS_PER_S + random.nextLong(MICROS_PER_S / 2)) { send(worker) }
    }

    /** Starts the next operation if the processor is free: it executes one at a time, of a thread chosen at random among the busy ones. */
    private fun startNextOperation() {
        if (isBusy || nowMicros < pausedUntil) return
        val reading = minOf(readerThreads, unread.size)
        val answering = minOf(bulkhead.threadCount, queue.size)
        if (reading + answering == 0) return
        if (random.nextInt(reading + answering) < reading) read(unread.removeFirst()) else answer(queue.removeFirst())
    }

    private fun execute(micros: Long, action: () -> Unit) {
        isBusy = true
        schedule(micros) {
            isBusy = false
            action()
            startNextOperation()
        }
    }

    private fun read(request: Request) = execute(READ_MICROS) {
        request.queuedAt = nowMicros
        if (bulkhead.admits(queue.size)) queue += request else refuse(request)
    }

    private fun answer(request: Request) {
        val waitedMs = (nowMicros - request.queuedAt) / MICROS_PER_MS
        if (!bulkhead.isWorthAnswering(waitedMs)) return refuse(request)
        execute(ANSWER_MICROS) { onAnswered(request) }
    }

    private fun refuse(request: Request) = execute(REFUSE_MICROS) {
        if (request.worker.pendingRequest === request) retryLater(request.worker)
    }

    private fun onAnswered(request: Request) {
        val worker = request.worker
        if (worker.pendingRequest !== request) return
        worker.pendingRequest = null
        worker.renewedAt = request.sentAt
        answeredInTime++
        // One in four heartbeats reports a change and is sent early; the others are sent at the regular interval.
        val next = if (random.nextInt(HEARTBEATS_PER_CHANGE) == 0) CHANGE_MICROS else HEARTBEAT_MICROS * random.nextLong(75, 125) / 100
        schedule(next) { send(worker) }
    }

    private companion object {
        const val MICROS_PER_MS = 1000L
        const val MICROS_PER_S = 1_000_000L

        /** Behaviour of a worker with the settings of the largest sites. */
        const val HEARTBEAT_MICROS = 5 * MICROS_PER_S
        const val CHANGE_MICROS = 500 * MICROS_PER_MS
        const val HEARTBEATS_PER_CHANGE = 4
        const val LEASE_MICROS = 26_500 * MICROS_PER_MS
        const val TIMEOUT_MICROS = 4 * MICROS_PER_S

        /** Measured processor times on a quarter of a core: reading a request, answering a heartbeat, and refusing one unread. */
        const val READ_MICROS = 400L
        const val ANSWER_MICROS = 500L
        const val REFUSE_MICROS = 200L
    }
}
