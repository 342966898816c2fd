// Implements the datagrams of load reports on Thrift's compact protocol.
#include "radishflow/Fleet/load_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <loads_types.h>
#include <memory>

namespace radishflow {

using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

// A load beyond this is not one that a server could bear.
static constexpr int mostRequests = 100000;

std::string encodeLoads(const std::vector<shared_load>& loads)
{
    loads_wire::LoadReports wire;
    for (std::size_t index = 0; index < std::min(loads.size(), mostSharedLoads); ++index) {
        wire.servers.push_back(static_cast<std::int32_t>(loads[index].server));
        wire.loads.push_back(loads[index].requests);
    }
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol { buffer };
    wire.write(&protocol);
    return buffer->getBufferAsString();
}

std::optional<std::vector<shared_load>> decodeLoads(std::string_view bytes)
{
    loads_wire::LoadReports wire;
    try {
        std::string copy { bytes };
        const auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(copy.data()), static_cast<std::uint32_t>(copy.size()));
        compact_protocol protocol { buffer, static_cast<int>(copy.size()), static_cast<int>(copy.size()) };
        wire.read(&protocol);
    } catch (const std::exception&) {
        return std::nullopt;
    }
    if (wire.servers.size() != wire.loads.size() || wire.servers.size() > mostSharedLoads)
        return std::nullopt;
    std::vector<shared_load> loads;
    for (std::size_t index = 0; index < wire.servers.size(); ++index) {
        if (wire.loads[index] < 0 || wire.loads[index] > mostRequests)
            return std::nullopt;
        loads.push_back({ .server = static_cast<std::uint32_t>(wire.servers[index]), .requests = wire.loads[index] });
    }
    return loads;
}

} // namespace radishflow
