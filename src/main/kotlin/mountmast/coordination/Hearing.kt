package mountmast.coordination

import mountmast.protocol.Moment
import mountmast.protocol.WorkerReport
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.reign")

/** Notices machines that report but hear nothing. Guarded as its [Ledger] is. */
class Hearing(private val ledger: Ledger, private val mandate: Mandate, private val timing: Timing) {
    /**
     * Notices workers whose reports arrive while answers and commands do not reach them: their token lags, starts that
     * an answer told are not shown, or their session rises although they are answered. Such a machine gets no more
     * work, and is returned if that lasts; a report that shows an answer's effect clears it. True where the machine may have work again.
     */
    fun note(machine: Machine, report: WorkerReport, now: Moment, readyAt: Moment): Boolean {
        val answered = machine.answeredTally
        var missing = answered != null && answered < report.tally && report.term < mandate.term
        var shown = now - machine.sessionSince > timing.leaseOverMs && report.term.reign == mandate.term.reign
        for (assignment in machine.live.values) {
            val told = assignment.startedInBeat ?: continue
            if (assignment.phase != Phase.COMMITTED || assignment.session != report.session || report.tally <= told) continue
            if (assignment.reported == null) {
                missing = true
            } else {
                shown = true
                assignment.startedInBeat = null
            }
        }
        // A node that has just begun answers so slowly that workers drop its answers: that says nothing of them.
        if (now - readyAt < SETTLING_MS) {
            machine.unheard = 0
        } else if (missing) {
            machine.unheard++
        } else if (shown) {
            machine.unheard = 0
        }
        if (machine.unheard >= MOST_UNHEARD && machine.unreachedSince == null) {
            machine.unreachedSince = now
            log.info("machine {} reports, but nothing seems to reach it", machine.id)
        } else if (machine.unheard == 0 && machine.unreachedSince != null) {
            machine.unreachedSince = null
            log.info("machine {} is reached again", machine.id)
            return true
        }
        return false
    }

    /** Whether so many workers hear nothing that it must be this node, which cannot send. The caller holds the lock. */
    fun manyUnreached(): Boolean {
        val up = ledger.machines.values.count { it.state == MachineState.UP && !it.deleting }
        val unreached = ledger.machines.values.count { it.unreachedSince != null && !it.deleting }
        return unreached >= LEAST_FOR_DEAF && unreached * 2 > up
    }

    companion object {
        /** Reports in a row that show nothing of the answers before them. */
        const val MOST_UNHEARD = 2

        /** Of so few machines nothing can be told about the node itself. */
        const val LEAST_FOR_DEAF = 3
        private const val SETTLING_MS = 15_000L
    }
}
