// Defines functions that encode and decode datagrams with Thrift's compact protocol.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>

namespace radishflow {

using compact_protocol = apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>;

/// Encodes a generated Thrift struct; `expectedBytes` is the initial size of the buffer.
template <typename Message>
std::string encodeCompact(const Message& message, std::size_t expectedBytes)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(static_cast<std::uint32_t>(expectedBytes));
    compact_protocol protocol { buffer };
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a generated Thrift struct. `limit` bounds the message size and the length of each string and list. Returns
/// false if the bytes don't hold a valid struct.
template <typename Message>
bool decodeCompact(std::string_view bytes, int limit, Message& message)
{
    constexpr int maxDepth = 8; // Far above the nesting depth of any message.
    const auto configuration = std::make_shared<apache::thrift::TConfiguration>(limit, limit, maxDepth);
    // In OBSERVE mode the buffer only reads the bytes, but Thrift's constructor takes a pointer to non-const.
    auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    try {
        const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(start, static_cast<std::uint32_t>(bytes.size()), apache::thrift::transport::TMemoryBuffer::OBSERVE, configuration);
        compact_protocol protocol { buffer, limit, limit };
        message.read(&protocol);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

} // namespace radishflow
