package mountmast.coordination.controller

import mountmast.coordination.jobs.JobService
import mountmast.coordination.membership.FormatNegotiation
import mountmast.storage.StoreException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.controller")

/** Refreshes the machine types and the negotiated format from the store. Confined to one thread. */
internal class PeriodicRefresh(private val jobService: JobService, private val formats: FormatNegotiation) {
    private var stepsSinceTypesRead = 0

    /** Reads the machine types if they are unknown or [STEPS_BETWEEN_TYPE_READS] steps old; negotiates the format. Called once a second. */
    fun refreshTypesAndFormat() {
        try {
            if (!jobService.knowsMachineTypes || stepsSinceTypesRead++ >= STEPS_BETWEEN_TYPE_READS) {
                jobService.refreshMachineTypes()
                stepsSinceTypesRead = 0
            }
        } catch (e: StoreException) {
            log.debug("cannot read the machine types: {}", e.message)
        }
        formats.readOrWriteVersion()
    }

    private companion object {
        const val STEPS_BETWEEN_TYPE_READS = 30
    }
}
