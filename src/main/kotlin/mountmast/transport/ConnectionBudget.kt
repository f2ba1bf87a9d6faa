package mountmast.transport

/**
 * Division of a node's connections into inbound and outbound ones. Every worker and many users keep a connection open to the leader, so
 * most connections are inbound. The outbound connections are reserved for peers, the state service, the cloud and commands to workers,
 * so that a flood of inbound requests never keeps a leader from renewing its lease.
 */
data class ConnectionBudget(
    /** Maximum number of inbound connections; further ones are closed at once. */
    val maxInboundConnections: Int,
    /**
     * Maximum number of inbound connections kept open between requests. As high as [maxInboundConnections], since a worker whose
     * connection is closed only connects again.
     */
    val maxIdleConnections: Int,
    /** Maximum number of requests, other than heartbeats, that wait for a thread. */
    val maxWaitingRequests: Int,
    /** Number of threads that send commands to workers, each over one connection at a time. */
    val deliveryThreadCount: Int,
) {
    companion object {
        /** Divides [total] connections: the largest number that the node may have open. */
        fun of(total: Int): ConnectionBudget {
            val outbound = maxOf(minOf(MIN_OUTBOUND, total / 2), total / OUTBOUND_DIVISOR)
            val inbound = total - outbound
            return ConnectionBudget(
                inbound,
                inbound,
                (total / WAITING_REQUESTS_DIVISOR).coerceIn(MIN_WAITING_REQUESTS, MAX_WAITING_REQUESTS),
                (total / CONNECTIONS_PER_DELIVERY_THREAD).coerceIn(MIN_DELIVERY_THREADS, MAX_DELIVERY_THREADS),
            )
        }

        private const val MIN_OUTBOUND = 64
        private const val OUTBOUND_DIVISOR = 10
        private const val WAITING_REQUESTS_DIVISOR = 4
        private const val MIN_WAITING_REQUESTS = 64
        private const val MAX_WAITING_REQUESTS = 4096
        private const val CONNECTIONS_PER_DELIVERY_THREAD = 150
        private const val MIN_DELIVERY_THREADS = 4
        private const val MAX_DELIVERY_THREADS = 16
    }
}
