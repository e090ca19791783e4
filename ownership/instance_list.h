#pragma once

#include "config/configuration.h"
#include "core/error.h"
#include "core/ids.h"

#include <functional>
#include <vector>

namespace cornelswitch {

enum class instance_state : std::uint8_t { live, leaving };

/// An entry of the platform's list of instances. `boot` distinguishes a process from an earlier
/// process of the same instance.
struct instance_info {
    instance_id id;
    boot_id boot;
    zone_id zone;
    instance_state state{instance_state::live};
    /// Address of the control port, for agents of other instances.
    endpoint control;
    /// Address of the data port, for forwarded requests.
    endpoint data;
    friend auto operator==(const instance_info&, const instance_info&) -> bool = default;
};

/// Interface to the platform's list of instances. The list may be out of date, so no decision that
/// affects safety may rely on it.
class instance_list {
public:
    using list_handler = std::function<void(result<std::vector<instance_info>>)>;
    using done_handler = std::function<void(result<void>)>;

    instance_list() = default;
    instance_list(const instance_list&) = delete;
    auto operator=(const instance_list&) -> instance_list& = delete;
    virtual ~instance_list() = default;

    virtual auto list(list_handler handler) -> void = 0;
    /// Adds or replaces this instance's own entry.
    virtual auto publish(const instance_info& self, done_handler handler) -> void = 0;
};

} // namespace cornelswitch
