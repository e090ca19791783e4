#include "ownership/log_service.h"

namespace cornelswitch {

auto to_string(log_stream stream) -> std::string_view
{
    return stream == log_stream::config ? "config" : "ownership";
}

} // namespace cornelswitch
