package mountmast.coordination.jobs

import mountmast.protocol.ForwardedRequest
import mountmast.protocol.JobId
import mountmast.transport.UserAnswer

/** The operations of the local node that [JobService] depends on. Called by many threads at once. */
interface HostNode {
    /**
     * Whether every node of the deployment can read job records with prerequisites. A node of an earlier version would start such a
     * job before its prerequisites are done.
     */
    val acceptsPrerequisites: Boolean

    /** Whether the load balancer should send users' requests to this node. */
    fun isReady(): Boolean

    /** Forwards [request] to another node that reaches the state service, and returns its answer; null if no node can serve it. */
    fun forward(request: ForwardedRequest): UserAnswer?

    /** Called after the cancellation of [id] was committed to the state service; its user is answered only after this returns. */
    fun onCancelled(id: JobId)

    companion object {
        /** Creates a [HostNode] from one function for each of its operations. */
        fun of(
            forwarding: (ForwardedRequest) -> UserAnswer?,
            readiness: () -> Boolean,
            cancellationListener: (JobId) -> Unit,
            prerequisiteSupport: () -> Boolean,
        ): HostNode = object : HostNode {
            override val acceptsPrerequisites get() = prerequisiteSupport()

            override fun isReady() = readiness()

            override fun forward(request: ForwardedRequest) = forwarding(request)

            override fun onCancelled(id: JobId) = cancellationListener(id)
        }
    }
}
