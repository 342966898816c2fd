// Declares config_store, which holds the configuration that a daemon has in force.
#pragma once

#include "radishflow/Config/config_snapshot.h"
#include "radishflow/Support/ranked_mutex.h"

#include <memory>
#include <string>

namespace radishflow {

/// Takes only higher versions, whether the table or a peer has them. Thread-safe; rank Configuration.
class config_store {
public:
    /// Returns what is in force, or nullptr on a fresh daemon, which is not ready then.
    std::shared_ptr<const config_snapshot> current() const;

    /// Returns the version in force; 0 when there is none.
    config_version version() const;

    /// Takes a published text. Returns whether it is in force now because of this call; false for a
    /// version that is not higher. Fails with failure_code::Broken when the text isn't the object that
    /// the pointer names or has problems.
    result<bool> accept(const config_pointer&, std::string text);

private:
    mutable ranked_mutex m_mutex { lock_rank::Configuration };
    std::shared_ptr<const config_snapshot> m_current;
};

} // namespace radishflow
