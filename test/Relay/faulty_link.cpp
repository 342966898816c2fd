// Implements faulty_link over the control port of fault_proxy.
#include "faulty_link.h"

#include "Support/http_call.h"

#include <stdexcept>

namespace radishflow {

faulty_link::faulty_link(const std::string& target)
    : m_proxy({}, { .target = target })
{
}

void faulty_link::set(const std::string& rules)
{
    const http_call_reply reply = httpCall({ .method = "POST", .url = "http://127.0.0.1:" + std::to_string(m_proxy.controlPort()) + "/control/faults", .body = rules });
    if (reply.status != 200)
        throw std::runtime_error("fault proxy rejected the rules " + rules + " (status " + std::to_string(reply.status) + "): " + reply.error);
}

void faulty_link::clear()
{
    set(R"({"delay_ms":0,"cut":false,"half_open":false,"one_way":"","throttle_bytes_per_s":0,"cut_probability":0})");
}

} // namespace radishflow
