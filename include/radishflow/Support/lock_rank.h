// Declares the order in which locks may be taken; docs/design/concurrency.md explains it.
#pragma once

namespace radishflow {

/// A thread may only take a lock of a higher rank than each one that it holds.
enum class lock_rank : int {
    Configuration = 10,
    HostList = 15,
    Membership = 20,
    Routing = 25,
    Ownership = 30,
    Admission = 40,
    Crashes = 45,
    RetryBudget = 46,
    Rollouts = 48,
    Placement = 50,
    Servers = 52,
    Prefixes = 55,
    Orders = 60,
    Streams = 70,
    OneStream = 80,
    Connections = 90,
    ResponseMemory = 95,
    Statistics = 100,
};

} // namespace radishflow
