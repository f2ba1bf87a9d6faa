package mountmast.transport

/**
 * How a node's sockets are shared out. Every worker and many users keep a connection open to the leader, so most are for
 * what comes in; the rest stay free for peers, the state service, the cloud and direct commands, so that a flood from
 * outside never keeps a leader from renewing.
 */
data class ConnectionBudget(
    /** Connections taken in at most; more are refused by closing them. */
    val accepted: Int,
    /** Connections kept open between requests: closing those of workers only makes them connect again. */
    val idle: Int,
    /** Requests that wait for a thread at most. */
    val waiting: Int,
    /** Commands sent to workers at once. */
    val deliveryThreads: Int,
) {
    companion object {
        /** The shares of [most] sockets. */
        fun of(most: Int): ConnectionBudget {
            val own = maxOf(minOf(MIN_OWN, most / 2), most / OWN_SHARE)
            val accepted = most - own
            return ConnectionBudget(
                accepted,
                accepted,
                (most / WAITING_SHARE).coerceIn(MIN_WAITING, MAX_WAITING),
                (most / CONNECTIONS_PER_DELIVERY_THREAD).coerceIn(MIN_DELIVERY_THREADS, MAX_DELIVERY_THREADS),
            )
        }

        private const val MIN_OWN = 64
        private const val OWN_SHARE = 10
        private const val WAITING_SHARE = 4
        private const val MIN_WAITING = 64
        private const val MAX_WAITING = 4096
        private const val CONNECTIONS_PER_DELIVERY_THREAD = 150
        private const val MIN_DELIVERY_THREADS = 4
        private const val MAX_DELIVERY_THREADS = 16
    }
}
