// Declares soak_step, one disturbance of a soak.
#pragma once

#include <chrono>
#include <string_view>

namespace radishflow {

/// What a disturbance touches; two that touch the same thing never overlap.
enum class soak_part {
    Daemon, ///< A daemon's process.
    StoreLink, ///< One daemon's connections to the store.
    Store,
    Server, ///< What a backend server answers.
    ServerLink,
    CallerLink, ///< The callers' connections to one daemon.
    List, ///< What the store says of a backend server.
    Configuration,
};

enum class soak_fault {
    PauseDaemon,
    KillDaemon,
    StopDaemon,
    CutStore,
    SilenceStore,
    DeafenStore, ///< What the daemon sends is lost.
    MuteStore, ///< What the store sends is lost.
    DelayStore,
    StoreBusy,
    StoreSilent,
    StoreLosesReplies,
    StoreGone,
    StoreForgets,
    ServerFails,
    ServerCuts,
    ServerCrashes,
    ServerHangs,
    ServerRefuses,
    SilenceServer,
    ResetServer,
    DelayServer,
    ResetCallers,
    DelayCallers,
    DrainServer,
    LapseServer, ///< Its entry vanishes for a while.
    CoolServer, ///< It is listed as cold.
    ChangeKey,
    ChangeConfiguration,
};

constexpr int soakFaultCount = static_cast<int>(soak_fault::ChangeConfiguration) + 1;

soak_part partOf(soak_fault);
std::string_view nameOf(soak_fault);

struct soak_step {
    std::chrono::milliseconds at { 0 }; ///< From the beginning of the soak.
    std::chrono::milliseconds length { 0 };
    soak_fault fault = soak_fault::PauseDaemon;
    int target = 0; ///< Number of the daemon or backend server; 0 where there is one only.

    std::chrono::milliseconds end() const { return at + length; }
};

} // namespace radishflow
