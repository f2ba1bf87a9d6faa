package mountmast.coordination.state

import mountmast.protocol.HeartbeatSequence

/** Which messages to the worker carry an assignment's start and are not known to be executed. Guarded as its [ClusterState] is. */
class StartDelivery {
    /** Direct requests with the start that wait for their answer. */
    var inFlight = 0
        private set

    /** The latest heartbeat that was answered with the start; the next heartbeat shows whether that was executed. */
    var inHeartbeat: HeartbeatSequence? = null
        private set

    /** Records that the answer to [heartbeat] carries the start. */
    fun recordAnswer(heartbeat: HeartbeatSequence) {
        inHeartbeat = heartbeat
    }

    /** Records that a heartbeat shows the start to have been executed. */
    fun confirm() {
        inHeartbeat = null
    }

    /** Records that a direct request with the start is on its way. */
    fun beginRequest() {
        inFlight++
    }

    /** Records that a direct request with the start was answered or given up. */
    fun endRequest() {
        inFlight--
    }
}
