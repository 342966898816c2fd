// Declares the coding of datagrams by Thrift's compact protocol.
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

/// Encodes a generated Thrift struct; `expectedBytes` are taken from memory at once.
template <typename Message>
std::string encodeCompact(const Message& message, std::size_t expectedBytes)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(static_cast<std::uint32_t>(expectedBytes));
    compact_protocol protocol { buffer };
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Reads a generated Thrift struct, none of whose texts and lists may be longer than the limit. Returns false for bytes
/// that hold none.
template <typename Message>
bool decodeCompact(std::string_view bytes, int limit, Message& message)
{
    constexpr int deepest = 8; // Far above the depth of any message.
    const auto configuration = std::make_shared<apache::thrift::TConfiguration>(limit, limit, deepest);
    // The buffer only observes the bytes; Thrift asks for a pointer that is not const.
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
