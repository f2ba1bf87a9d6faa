package mountmast.coordination.jobs

import mountmast.protocol.ForwardedRequest
import mountmast.protocol.JobId
import mountmast.transport.UserAnswer

/** What [JobService] needs of the node that it runs on. Called by many threads at once. */
interface HostNode {
    /** Whether every node reads records that name prerequisites: an older one would start such a job too early. */
    val acceptsPrerequisites: Boolean

    /** Whether the load balancer should send users to this node. */
    fun isReady(): Boolean

    /** Has another node that reaches the state service serve [request]; null if none can. */
    fun forward(request: ForwardedRequest): UserAnswer?

    /** The cancellation of [id] is in the state service; its user gets the answer after this returns. */
    fun onCancelled(id: JobId)

    companion object {
        /** A node made of its functions. */
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
