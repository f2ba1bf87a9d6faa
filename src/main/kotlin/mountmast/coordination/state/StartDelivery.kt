package mountmast.coordination.state

import mountmast.protocol.HeartbeatSequence

/**
 * The messages to the worker that carry an assignment's start command and are not known to be executed. Guarded by the lock of the
 * leader's term.
 */
class StartDelivery {
    /** How many direct requests with the start command wait for their answer. */
    var requestsInFlight = 0
        private set

    /** The latest heartbeat whose answer carries the start command; the next heartbeat shows whether the command was executed. */
    var lastAnsweredHeartbeat: HeartbeatSequence? = null
        private set

    /** Records that the answer to [heartbeat] carries the start command. */
    fun recordAnswer(heartbeat: HeartbeatSequence) {
        lastAnsweredHeartbeat = heartbeat
    }

    /** Records that a heartbeat shows that the start command was executed. */
    fun confirm() {
        lastAnsweredHeartbeat = null
    }

    /** Records that a direct request with the start command is being sent. */
    fun beginRequest() {
        requestsInFlight++
    }

    /** Records that a direct request with the start command was answered or given up. */
    fun endRequest() {
        requestsInFlight--
    }
}
