// Declares zone_state, whether an availability zone is in service.
#pragma once

namespace radishflow {

enum class zone_state {
    In,
    Out, ///< Taken out of service by operators.
};

} // namespace radishflow
