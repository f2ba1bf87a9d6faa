package mountmast.coordination.controller

import mountmast.coordination.jobs.JobService
import mountmast.coordination.membership.FormatNegotiation
import mountmast.storage.StoreException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.controller")

/** Reads from the store what seldom changes. Called by one thread. */
internal class PeriodicRefresh(private val jobService: JobService, private val formats: FormatNegotiation) {
    private var stepsSinceTypes = 0

    /** Reads the machine types if they are unknown or old, and negotiates the format; about once a second. */
    fun step() {
        try {
            if (!jobService.knowsTypes || stepsSinceTypes++ >= STEPS_BETWEEN_TYPES) {
                jobService.refreshTypes()
                stepsSinceTypes = 0
            }
        } catch (e: StoreException) {
            log.debug("machine types cannot be read: {}", e.message)
        }
        formats.step()
    }

    private companion object {
        const val STEPS_BETWEEN_TYPES = 30
    }
}
