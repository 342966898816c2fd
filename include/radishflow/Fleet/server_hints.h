// Declares server_hints, the observations of backend servers that daemons exchange.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Admission/part_evidence.h"
#include "radishflow/Routing/prompt_holder.h"
#include "radishflow/Routing/prompt_report.h"
#include "radishflow/Routing/response_delay.h"
#include "radishflow/Routing/rollout_evidence.h"
#include "radishflow/Routing/service_contact.h"
#include "radishflow/Routing/shared_limit.h"
#include "radishflow/Routing/shared_load.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

struct server_hints {
    std::vector<shared_load> loads;
    std::vector<crash_record> crashes;
    std::vector<prompt_holder> promptHolders; ///< Servers whose caches hold a prompt.
    std::vector<prompt_report> promptReports; ///< Uses of prompts that caches hold, of the whole fleet.
    std::vector<shared_delay> delays; ///< Response times of servers that do not report their load.
    std::vector<shared_limit> limits; ///< Request limits that servers state.
    std::vector<part_evidence> parts; ///< On which prompt parts crash servers.
    std::vector<service_contact> contacts; ///< Services whose servers the sender reaches.
    std::vector<std::uint32_t> askedServices; ///< Hashes of the services whose servers the sender does not reach; it asks whether the receiver does.
    daemon_id sender; ///< Empty unless the hints carry the sender's token.
    std::string senderToken; ///< Proves that forwarded requests come from the sender.
    std::vector<rollout_notice> rolloutNotices;
    std::vector<rollout_evidence> rolloutEvidence; ///< For the coordinators of the roll-outs.
};

} // namespace radishflow
