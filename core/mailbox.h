#pragma once

#include <functional>

namespace cornelswitch {

/// Sends messages to a task; callable from any thread. The task's event loop handles the messages
/// in order.
template<typename message>
using mailbox = std::function<void(message)>;

} // namespace cornelswitch
