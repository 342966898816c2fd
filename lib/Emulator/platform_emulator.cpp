// Implements platform_emulator by putting its core behind HTTP.
#include "radishflow/Emulator/platform_emulator.h"

#include "platform_core.h"
#include "stand_in.h"

namespace radishflow {

struct platform_emulator::parts {
    stand_in<platform_core> server;
};

platform_emulator::platform_emulator(const listen_options& listen, const platform_emulator_options& options)
    : m_parts(new parts { stand_in<platform_core> { listen, options } })
{
}

platform_emulator::~platform_emulator() = default;

std::uint16_t platform_emulator::port() const
{
    return m_parts->server.port();
}

std::uint16_t platform_emulator::controlPort() const
{
    return m_parts->server.controlPort();
}

} // namespace radishflow
