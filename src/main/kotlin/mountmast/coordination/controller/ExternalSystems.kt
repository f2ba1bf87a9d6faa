package mountmast.coordination.controller

import mountmast.storage.StateStore
import mountmast.transport.Cloud
import mountmast.transport.PeerClient
import mountmast.transport.WorkerClient

/** Clients of all systems that a controller node calls. Each client must be thread-safe. */
class ExternalSystems(val store: StateStore, val cloud: Cloud, val workerClient: WorkerClient, val peerClient: PeerClient)
