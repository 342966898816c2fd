// Implements engine_emulator by putting its core behind HTTP.
#include "radishflow/Emulator/engine_emulator.h"

#include "engine_core.h"
#include "stand_in.h"

namespace radishflow {

struct engine_emulator::parts {
    stand_in<engine_core> server;
};

engine_emulator::engine_emulator(const listen_options& listen, const engine_emulator_options& options)
    : m_parts(new parts { stand_in<engine_core> { listen, options } })
{
}

engine_emulator::~engine_emulator() = default;

std::uint16_t engine_emulator::port() const
{
    return m_parts->server.port();
}

std::uint16_t engine_emulator::controlPort() const
{
    return m_parts->server.controlPort();
}

} // namespace radishflow
