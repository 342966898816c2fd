// Declares order_book, which takes orders to an engine with or without checking their fencing numbers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace radishflow {

struct engine_order {
    std::string order;
    std::string name;
    std::uint64_t fence = 0;
    bool isAccepted = false;
    bool isStale = false; ///< A higher fencing number had been seen before.
};

/// Keeps every order in the sequence of their arrival. Not thread-safe.
class order_book {
public:
    explicit order_book(bool checksFence)
        : m_checksFence(checksFence)
    {
    }

    /// Returns whether the order is accepted.
    bool take(engine_order order)
    {
        order.isStale = order.fence < m_highestFence;
        order.isAccepted = !order.isStale || !m_checksFence;
        m_highestFence = std::max(m_highestFence, order.fence);
        m_orders.push_back(std::move(order));
        return m_orders.back().isAccepted;
    }

    const std::vector<engine_order>& orders() const { return m_orders; }

private:
    bool m_checksFence;
    std::uint64_t m_highestFence = 0;
    std::vector<engine_order> m_orders;
};

} // namespace radishflow
