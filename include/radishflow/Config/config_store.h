// Declares config_store, which holds the configuration that a daemon has in force.
#pragma once

#include "radishflow/Config/config_snapshot.h"
#include "radishflow/Support/ranked_mutex.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

/// Takes only higher versions, whether the table or a peer has them. Thread-safe; rank Configuration.
class config_store {
public:
    /// Returns what is in force, or nullptr on a fresh daemon, which is not ready then.
    std::shared_ptr<const config_snapshot> current() const;

    /// Returns the version in force; 0 when there is none.
    config_version version() const;

    /// Returns the keys of the parts of a manifest that the version in force does not have.
    std::vector<std::string> missingObjects(const config_manifest&) const;

    /// Takes a published version from its manifest and those of its parts that are not held yet, by key.
    /// Returns whether it is in force now because of this call; false for a version that is not higher.
    /// Fails with failure_code::Broken when an object is missing, isn't what its key says, or has problems.
    result<bool> accept(const config_pointer&, std::map<std::string, std::string> objects);

private:
    mutable ranked_mutex m_mutex { lock_rank::Configuration };
    std::shared_ptr<const config_snapshot> m_current;
};

} // namespace radishflow
