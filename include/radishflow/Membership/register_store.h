// Declares register_store, the concept of a store of fleet registers that zone_register uses.
#pragma once

#include "radishflow/Membership/fleet_register.h"
#include "radishflow/Membership/register_map.h"

#include <concepts>
#include <string>

namespace radishflow {

/// A store of registers that keeps the greatest value of each; setRegister returns false if the value isn't greater.
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
