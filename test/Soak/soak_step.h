// Declares soak_step, one injected fault with its time and target.
#pragma once

#include <chrono>
#include <string_view>

namespace radishflow {

/// The component that a fault affects. A plan keeps two faults at the same component of the same target at least 1 s apart,
/// except changes of the configuration.
enum class soak_component {
    Daemon, ///< A daemon's process.
    StoreLink, ///< One daemon's connections to the store.
    Store,
    Server, ///< The responses of a backend server.
    ServerLink, ///< The daemons' connections to a backend server.
    CallerLink, ///< The callers' connections to one daemon.
    ServerEntry, ///< The store's entry of a backend server.
    Configuration,
};

enum class soak_fault {
    PauseDaemon,
    KillDaemon,
    StopDaemon,
    CutStore,
    HalfOpenStore, ///< Connections to the store stay open, but data is held back until the fault ends.
    DropDataToStore, ///< Data from the daemon to the store is dropped.
    DropDataFromStore, ///< Data from the store to the daemon is dropped.
    DelayStore,
    StoreBusy,
    StoreSilent,
    StoreLosesReplies,
    StoreUnreachable,
    StoreDropsHistory, ///< The store can't list changes since earlier revisions any more.
    ServerFails,
    ServerCuts,
    ServerCrashes,
    ServerHangs,
    ServerRefuses,
    HalfOpenServer, ///< Connections to the server stay open, but data is held back until the fault ends.
    ResetServer,
    DelayServer,
    ResetCallers,
    DelayCallers,
    DrainServer,
    UnlistServer, ///< The server's entry is absent until the fault ends.
    ListServerAsCold, ///< The server is listed as cold.
    ChangeKey,
    ChangeConfiguration,
};

constexpr int soakFaultCount = static_cast<int>(soak_fault::ChangeConfiguration) + 1;

soak_component componentOf(soak_fault);
std::string_view nameOf(soak_fault);

struct soak_step {
    std::chrono::milliseconds at { 0 }; ///< Since the start of the soak.
    std::chrono::milliseconds length { 0 };
    soak_fault fault = soak_fault::PauseDaemon;
    int target = 0; ///< Number of the daemon or backend server; 0 where there is only one.

    std::chrono::milliseconds end() const { return at + length; }
};

} // namespace radishflow
