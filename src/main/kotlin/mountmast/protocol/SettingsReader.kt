package mountmast.protocol

/** Reads the platform's settings from TOML. A field that is missing or invalid causes an [InvalidSettingsException] that names it. */
internal class SettingsReader(private val toml: TomlTable) {
    fun read(): Settings {
        val node = NodeId(toml.string("node"))
        val members = toml.tables("members").map { Member(NodeId(it.string("node")), it.zone(), it.address("endpoint")) }
        checkNodeNames(members.map { it.node } + node)
        val teams = readTeams()
        val heartbeatIntervalS = toml.positive("deployment.workers.report_s")
        val leaseS = toml.positive("deployment.workers.lease_s")
        if (leaseS <= heartbeatIntervalS) throw InvalidSettingsException("deployment.workers.lease_s: not longer than report_s")
        return Settings(
            node = node,
            zone = toml.zone(),
            serveOn = toml.address("serve_on"),
            peerListen = toml.address("peer_listen"),
            members = members,
            cloud = toml.address("endpoints.cloud"),
            state = toml.address("endpoints.state"),
            teams = teams,
            clockOffMs = if (toml.has(CLOCK_OFF)) toml.amount(CLOCK_OFF) else DEFAULT_CLOCK_OFF_MS,
            heartbeatIntervalS = heartbeatIntervalS,
            leaseS = leaseS,
            cancelS = toml.positive("deployment.workers.cancel_s"),
            stateLimits = readStateLimits(),
            cloudRps = toml.positive("deployment.cloud.rps"),
            listLagS = toml.amount("deployment.cloud.list_lag_s"),
            maxConnections = toml.whole("deployment.resources.max_connections", MIN_CONNECTIONS, MAX_CONNECTIONS),
        )
    }

    private fun checkNodeNames(names: List<NodeId>) {
        if (names.toSet().size != names.size) throw InvalidSettingsException("members: a node is named twice")
        val size = toml.whole("deployment.size", 1, MAX_NODES)
        if (size != names.size) throw InvalidSettingsException("deployment.size: $size, but members name ${names.size} nodes")
    }

    private fun readTeams(): Map<TeamId, TeamQuota> {
        val teams = toml.tables("deployment.teams").map(::readQuota)
        if (teams.isEmpty()) throw InvalidSettingsException("deployment.teams: missing")
        if (teams.distinctBy { it.id }.size != teams.size) throw InvalidSettingsException("deployment.teams: a team is named twice")
        return teams.associateBy { it.id }
    }

    private fun readQuota(team: TomlTable): TeamQuota {
        val quota = TeamQuota(
            TeamId(team.string("name")),
            cpus = team.amount("cpus"),
            cpusMax = team.amount("cpus_max"),
            gpus = team.amount("gpus"),
            gpusMax = team.amount("gpus_max"),
        )
        if (quota.cpusMax > 0 && quota.cpusMax < quota.cpus) throw InvalidSettingsException("${team.prefix}cpus_max: below cpus")
        if (quota.gpusMax > 0 && quota.gpusMax < quota.gpus) throw InvalidSettingsException("${team.prefix}gpus_max: below gpus")
        return quota
    }

    /**
     * Returns the limits of the state service. The announced limits in the table `deployment.state.next` come into force without
     * notice, so those that are lower apply from the start.
     */
    private fun readStateLimits(): StateLimits {
        val current = readStateLimits("deployment.state")
        val hasNext = toml.has("deployment.state.next")
        return if (hasNext) current.lowerOf(readStateLimits("deployment.state.next", current)) else current
    }

    /** Returns the limits in the table at [path]. A limit that the table lacks is taken from [defaults]; without them it is an error. */
    private fun readStateLimits(path: String, defaults: StateLimits? = null): StateLimits {
        if (!toml.isTable(path)) throw InvalidSettingsException("$path: not a table")

        fun <T> field(name: String, default: T?, read: (String) -> T): T =
            if (default != null && !toml.has("$path.$name")) default else read("$path.$name")

        return StateLimits(
            requestsPerSecond = field("rps", defaults?.requestsPerSecond, toml::positive),
            writesPerSecond = field("write_rps", defaults?.writesPerSecond, toml::positive),
            valueKb = field("value_kb", defaults?.valueKb, toml::positive),
            transactionOps = field("txn_ops", defaults?.transactionOps) {
                toml.whole(it, StateLimits.MIN_TRANSACTION_OPS, MAX_TRANSACTION_OPS)
            },
        )
    }

    private fun TomlTable.zone(): Zone {
        val zoneName = string("site")
        return try {
            Zone(zoneName)
        } catch (e: IllegalArgumentException) {
            throw InvalidSettingsException("${prefix}site: not a zone's name")
        }
    }

    private companion object {
        const val CLOCK_OFF = "deployment.clock_off_ms"

        /** Used if the platform's file does not contain [CLOCK_OFF]. */
        const val DEFAULT_CLOCK_OFF_MS = 1000.0
        const val MAX_NODES = 1000
        const val MIN_CONNECTIONS = 16
        const val MAX_CONNECTIONS = 1_000_000
        const val MAX_TRANSACTION_OPS = 10_000
    }
}
