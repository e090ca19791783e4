#pragma once

#include <functional>

namespace cornelswitch {

/// Sends messages to a task from any thread. The task's event loop handles them in order.
template<typename message>
using mailbox = std::function<void(message)>;

} // namespace cornelswitch
