// Implements the ids by which callers resume.
#include "radishflow/Daemon/resume_id.h"

#include "radishflow/Support/hashing.h"

#include <array>
#include <cstdio>

namespace radishflow {

static constexpr std::size_t markLength = 16;

std::string markOf(const server_id& server)
{
    std::array<char, markLength + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(stableHash(server.value())));
    return text.data();
}

request_id makeResumeId(const request_id& request, const server_id& server)
{
    return request_id { request.value() + '.' + markOf(server) };
}

resume_id parseResumeId(const request_id& id)
{
    const std::string& text = id.value();
    if (text.size() <= markLength + 1 || text[text.size() - markLength - 1] != '.')
        return { .request = id };
    return { .request = request_id { text.substr(0, text.size() - markLength - 1) }, .serverMark = text.substr(text.size() - markLength) };
}

} // namespace radishflow
