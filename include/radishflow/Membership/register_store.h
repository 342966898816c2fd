// Declares the concept of the fleet registers that zone_register works on.
#pragma once

#include "radishflow/Membership/fleet_register.h"
#include "radishflow/Membership/register_map.h"

#include <concepts>
#include <string>

namespace radishflow {

/// Registers where the greatest value holds; setRegister returns false when the value is not greater.
template <typename T>
concept register_store = requires(T& store, const std::string& key, fleet_register value)
{
    {
        store.registerOf(key)
        } -> std::same_as<fleet_register>;
    {
        store.setRegister(key, value)
        } -> std::same_as<bool>;
    {
        store.registers()
        } -> std::convertible_to<register_map>;
};

} // namespace radishflow
