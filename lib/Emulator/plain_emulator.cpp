// Implements plain_emulator by putting its core behind HTTP.
#include "radishflow/Emulator/plain_emulator.h"

#include "plain_core.h"
#include "stand_in.h"

namespace radishflow {

struct plain_emulator::parts {
    stand_in<plain_core> server;
};

plain_emulator::plain_emulator(const listen_options& listen, const plain_emulator_options& options)
    : m_parts(new parts { stand_in<plain_core> { listen, options } })
{
}

plain_emulator::~plain_emulator() = default;

std::uint16_t plain_emulator::port() const
{
    return m_parts->server.port();
}

std::uint16_t plain_emulator::controlPort() const
{
    return m_parts->server.controlPort();
}

} // namespace radishflow
